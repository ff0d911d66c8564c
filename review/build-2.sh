#!/bin/sh
# The stand-ins of the cases 4 to 6 are Python programs of the standard library, so nothing is compiled. This checks that
# they can be read, and that the program of the deploy file is there.
cd "$(dirname "$0")" || exit 1
for file in 4/*.py 5/*.py 6/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
test -x ../target/release/junctionbendd || { echo "build the deploy file first"; exit 1; }

#!/bin/sh
# Checks the stand-ins that the scripts of the third review start; they are Python and need no build.
set -eu
cd "$(dirname "$0")/.."
for file in review/common-3/*.py review/1[1-5]/*.py tests/standins/platform_store.py tests/standins/http_server.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done

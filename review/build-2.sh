#!/bin/sh
# Builds the stand-ins of the scripted cases 6 to 9. They need no module but the standard library.
cd "$(dirname "$0")/second" && go build -o ../../target/review-second .

#!/bin/sh
# Builds the stand-ins of the scripted cases 6 to 10. They need no module but the standard library.
cd "$(dirname "$0")/second" && GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-second .

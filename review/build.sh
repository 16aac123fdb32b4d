#!/bin/sh
# Builds the program that the scripts start, with all stand-ins. It needs no module beyond those of the project.
cd "$(dirname "$0")/.." && exec go build -buildvcs=false -o target/review-stand ./review/_stand

#!/bin/sh
# Builds the stand-ins that the scripts start. They need no module beyond those of the project.
cd "$(dirname "$0")/.." && exec go build -o target/review-stand ./review/_stand

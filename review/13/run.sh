#!/bin/sh
# Two zones are cut off from each other; exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.."
exec target/review-3/harness zones-apart review/13

#!/bin/sh
# A crowd leaves its connections open; exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.."
# The crowd's connections and those of the process; without them the case exits with 2.
ulimit -n 8192 2>/dev/null || true
exec target/review-3/harness idle-crowd review/14

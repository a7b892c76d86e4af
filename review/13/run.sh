#!/bin/sh
# Refunds of refused requests; exits with 1 if the rule was broken.
cd "$(dirname "$0")/../.."
exec target/review-3/harness refunds review/13

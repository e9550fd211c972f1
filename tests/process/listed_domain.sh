#!/usr/bin/env bash
# Case 10, the instance list, in a failure domain with more proxies than
# watchers. Guards R7. The failure is an owner that does not read the list
# itself and still gives new work to a target that the list shows as leaving.
export CLUSTER_PORT=25200 CLUSTER_DOMAINS=1 CLUSTER_PROXIES=5
exec bash "$(dirname "$0")/listed.sh"

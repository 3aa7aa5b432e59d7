// Package processes tests the router's guarantees with separate processes on
// loopback: routers and stand-ins, some of which are killed, frozen and stopped
// under load, and the operator command. It holds only tests with the build tag
// processes, which scripts/processes runs.
package processes

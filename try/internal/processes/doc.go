// Package processes tests the router's guarantees with separate processes on
// loopback: routers, the fakes of module standin and the operator command. Some
// routers are killed, frozen and stopped under load, and the fake table is frozen.
// The package holds only tests with the build tag processes, which
// scripts/processes runs.
package processes

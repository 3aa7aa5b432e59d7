// Package peer is the protocol between routers: membership probes, and pushes
// and pulls of revisions, over twirp. It converts the domain types of packages
// membership, spread and revision to and from generated ones, and adapts the
// generated client and server to the interfaces of those packages. Routers
// address each other by IP.
//
// The package imports those three packages, the libraries of the generated code
// and the standard library.
package peer

//go:generate protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer.proto

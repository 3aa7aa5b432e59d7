// Package rows contains the generated encoding of lease rows. It imports only
// the protobuf runtime.
package rows

//go:generate protoc --go_out=. --go_opt=paths=source_relative lease.proto

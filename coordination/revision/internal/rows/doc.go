// Package rows holds the generated encoding of the rows of a revision store.
// It imports the protobuf runtime only.
package rows

//go:generate protoc --go_out=. --go_opt=paths=source_relative revision.proto

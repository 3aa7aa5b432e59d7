// Package wire is the root of the protocols between the project's own
// processes. Each protocol has a package of its own below it, with the
// generated code and, where needed, the hand-written conversion from and to
// domain types.
package wire

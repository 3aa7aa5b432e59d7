// Package operators implements the HTTP API for operators: settings changes, the
// state dump, metrics and health checks. It imports packages credential, document,
// dump and settings, the coordination library and the wire contract.
package operators

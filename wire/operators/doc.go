// Package operators is the protocol between the operators' command and a
// router: the generated code of the service and its messages.
package operators

package table

// Kind is the kind of a call of a Table. Rate limits, counts and faults are set
// or kept by kind.
type Kind uint8

const (
	// KindRead is a call of Table.Read.
	KindRead Kind = iota

	// KindList is a call of Table.List.
	KindList

	// KindCommit is a call of Table.Commit.
	KindCommit

	// NumKinds is the number of kinds.
	NumKinds
)

// String returns the lower-case name of the kind.
func (k Kind) String() string {
	switch k {
	case KindRead:
		return "read"
	case KindList:
		return "list"
	case KindCommit:
		return "commit"
	default:
		return "unknown"
	}
}

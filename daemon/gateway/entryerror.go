package gateway

import "fmt"

// EntryReason is why a registered entry names no endpoint that can be used.
type EntryReason string

// The reasons.
const (
	// EntryUnreadable: the entry is no JSON object.
	EntryUnreadable EntryReason = "unreadable"
	// EntryFieldMissing: a field is not there.
	EntryFieldMissing EntryReason = "field-missing"
	// EntryFieldType: a field is null or of another type.
	EntryFieldType EntryReason = "field-type"
	// EntryFieldValue: a field holds what it can't hold: an unknown word, a
	// number out of bounds, an address that is none.
	EntryFieldValue EntryReason = "field-value"
)

// EntryError says why a registered entry names no endpoint that can be used.
type EntryError struct {
	Reason EntryReason
	// Field is the entry's field at fault; empty for the whole entry.
	Field string
	// Detail is what was found there, shortened.
	Detail string
}

// Error implements error.
func (e *EntryError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.Reason, e.Detail)
	}
	return fmt.Sprintf("%s: field %q: %s", e.Reason, e.Field, e.Detail)
}

package gateway

import "fmt"

// EntryReason is the reason why a registered entry does not describe a usable endpoint.
type EntryReason string

// The reasons.
const (
	// EntryUnreadable: the entry is not a JSON object.
	EntryUnreadable EntryReason = "unreadable"
	// EntryFieldMissing: a required field is missing.
	EntryFieldMissing EntryReason = "field-missing"
	// EntryFieldType: a field is null or has the wrong type.
	EntryFieldType EntryReason = "field-type"
	// EntryFieldValue: a field has an invalid value: an unknown keyword, a number
	// out of range, or a malformed address.
	EntryFieldValue EntryReason = "field-value"
)

// EntryError is returned for a registered entry that does not describe a usable
// endpoint.
type EntryError struct {
	Reason EntryReason
	// Field is the invalid field; empty if the whole entry is invalid.
	Field string
	// Detail describes the value that was found, shortened.
	Detail string
}

// Error implements error.
func (e *EntryError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s: %s", e.Reason, e.Detail)
	}
	return fmt.Sprintf("%s: field %q: %s", e.Reason, e.Field, e.Detail)
}

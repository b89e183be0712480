package table

import "strconv"

// A store that comes back from an older copy gives out version numbers again. It counts
// these returns as eras, so that a number is unique and ordered within an era only. A
// Version holds both: the era in its upper bits and the store's number in the lower
// ones. Versions are ordered across eras, and in era 0 they are the store's numbers.

// numberBits is how many bits of a version hold the store's number: decades of changes
// at a million changes an hour.
const numberBits = 40

// VersionIn returns the version for a store's number in an era.
func VersionIn(era, number uint64) uint64 { return era<<numberBits | number }

// Era returns the era of a version.
func Era(version uint64) uint64 { return version >> numberBits }

// Number returns the store's number of a version, which is unique within its era.
func Number(version uint64) uint64 { return version & (1<<numberBits - 1) }

// FormatVersion returns a version for logs: ERA.NUMBER, or NUMBER in era 0.
func FormatVersion(version uint64) string {
	number := strconv.FormatUint(Number(version), 10)
	if Era(version) == 0 {
		return number
	}
	return strconv.FormatUint(Era(version), 10) + "." + number
}

// Package defaults fills in the fields of a configuration that were left zero.
package defaults

// Set gives a field its default where it is zero.
func Set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

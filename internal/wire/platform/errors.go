package platform

import "fmt"

// joined returns an error that matches both outcome and cause.
func joined(outcome, cause error) error {
	return fmt.Errorf("%w: %w", outcome, cause)
}

func unavailable(cause error) error {
	return Error.Wrap(joined(ErrUnavailable, cause))
}

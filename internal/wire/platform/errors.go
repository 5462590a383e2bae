package platform

import "fmt"

// joinErrors returns an error that wraps both outcome and cause.
func joinErrors(outcome, cause error) error {
	return fmt.Errorf("%w: %w", outcome, cause)
}

// unavailable returns an error that wraps both ErrUnavailable and cause.
func unavailable(cause error) error {
	return Error.Wrap(joinErrors(ErrUnavailable, cause))
}

package document

import (
	"strconv"
	"strings"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	maxDuration   = 7 * 24 * time.Hour
	maxInteger    = 1_000_000_000
	maxTextLength = 200
	percent       = 100
)

func parseDuration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, Error.New("%q is not a duration; write for example 250ms, 30s or 10m", s)
	}

	if d <= 0 || d > maxDuration {
		return 0, Error.New("%q is out of range; a duration is more than 0 and at most %v", s, maxDuration)
	}

	return d, nil
}

func parseInteger(s string) (int64, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, Error.New("%q is not a whole number", s)
	}

	if n < 0 || n > maxInteger {
		return 0, Error.New("%q is out of range; want 0 to %d", s, maxInteger)
	}

	return n, nil
}

func parseShare(s string) (float64, error) {
	text, isPercent := strings.CutSuffix(s, "%")

	f, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, Error.New("%q is not a share; write for example 95%% or 0.95", s)
	}

	if isPercent {
		f /= percent
	}

	// The negated form also refuses NaN.
	if !(f > 0 && f <= 1) {
		return 0, Error.New("%q is out of range; a share is more than 0 and at most 100%%", s)
	}

	return f, nil
}

func parseWeight(s string) (float64, error) {
	f, err := strconv.ParseFloat(s, 64)
	if err != nil || !(f > 0 && f <= maxInteger) {
		return 0, Error.New("%q is not a weight; want a number more than 0", s)
	}

	return f, nil
}

func parseUrgency(s string) (entity.Urgency, error) {
	var u entity.Urgency

	if err := u.UnmarshalText([]byte(s)); err != nil {
		return 0, Error.New("%q is not an urgency; want urgent, ordinary or patient", s)
	}

	return u, nil
}

func parseText(s string) (string, error) {
	if s == "" || len(s) > maxTextLength {
		return "", Error.New("want 1 to %d characters", maxTextLength)
	}

	return s, nil
}

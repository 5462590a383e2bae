package burnreport

import (
	"fmt"
	"strings"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/measure/burnrate"
)

const timeLayout = "Mon 2 Jan 15:04"

// stateSentences describe what each state means to the operator.
var stateSentences = map[burnrate.State]string{
	burnrate.Fast:       "Act now: at this rate the budget of three days is gone within five hours.",
	burnrate.Steady:     "Act tonight: at this rate the budget of three days is gone within half a day.",
	burnrate.Slow:       "Look into it: more requests fail than the objective allows.",
	burnrate.Recovering: "It is over, but the budget of three days is used up.",
	burnrate.OK:         "It keeps its objective.",
}

// causePhrases describe each event, and hints say what to check first if that event is the main cause.
var (
	causePhrases = map[burnrate.Event]string{
		burnrate.Refused:    "refused without being run",
		burnrate.Late:       "answered whole but too late",
		burnrate.Cut:        "cut off in the middle of the answer",
		burnrate.MayHaveRun: "ended without it being known whether they ran",
		burnrate.TargetLost: "ended because their target failed",
		burnrate.RoleChange: "held up by targets that changed role",
	}
	hints = map[burnrate.Event]string{
		burnrate.Refused:    "see whether the account's limits are too low for what it sends, or the targets too few",
		burnrate.Late:       "see whether targets are away, or whether the kind is urgent enough",
		burnrate.Cut:        "look for targets that restart, and for silent connections",
		burnrate.MayHaveRun: "settle with the client which of them ran before they are sent again",
		burnrate.TargetLost: "look at the targets' own logs and at the list of quarantined requests",
		burnrate.RoleChange: "see how often roles change, and weigh role changes more if it is often",
	}
)

// headline summarizes the report in one sentence.
func headline(r burnrate.Report) string {
	var urgent, slow int

	for _, s := range r.Series {
		switch s.State {
		case burnrate.Fast, burnrate.Steady:
			urgent++
		case burnrate.Slow:
			slow++
		}
	}

	switch {
	case urgent > 0:
		return fmt.Sprintf("%s to act on today, %s to look into.", quantity(urgent, "request kind"), quantity(slow, "more"))
	case slow > 0:
		return fmt.Sprintf("Nothing is urgent; %s to look into.", quantity(slow, "request kind"))
	default:
		return "All client accounts keep their objectives. Nothing to do."
	}
}

// quantity returns n and its unit, which gets a plural s unless n is 1 or unit is "more".
func quantity(n int, unit string) string {
	if n == 1 || unit == "more" {
		return fmt.Sprintf("%d %s", n, unit)
	}

	return fmt.Sprintf("%d %ss", n, unit)
}

// totals returns a sentence with the numbers of accounts and requests in the report.
func totals(r burnrate.Report) string {
	return fmt.Sprintf("In three days %d client accounts sent %d requests, of which %d missed their objective.",
		r.Accounts, r.Good+r.Bad, r.Bad)
}

// gaps returns a sentence that lists what is missing from the report, or "" if nothing is.
func gaps(r burnrate.Report) string {
	var missing []string

	if len(r.Missing) > 0 {
		missing = append(missing, fmt.Sprintf("the saved counts of %v, which could not be read", r.Missing))
	}

	if len(r.Silent) > 0 {
		missing = append(missing, fmt.Sprintf("the last minutes of %s that gave no answer",
			quantity(len(r.Silent), "entry host")))
	}

	if r.Omitted > 0 {
		missing = append(missing, fmt.Sprintf("%d request kinds that do better", r.Omitted))
	}

	if len(missing) == 0 {
		return ""
	}

	return "Not in this report: " + strings.Join(missing, "; ") + "."
}

// causeWindow returns the window that the causes of s are counted over.
func causeWindow(s burnrate.Series) burnrate.Window {
	for _, w := range s.Windows {
		if w.Span == s.CauseSpan {
			return w
		}
	}

	return burnrate.Window{Span: s.CauseSpan}
}

// sentences describes the state, burn and causes of one series.
func sentences(s burnrate.Series) []string {
	w := causeWindow(s)
	lines := []string{
		stateSentences[s.State],
		fmt.Sprintf("%d of %d requests missed the objective in the last %s; it allows %.3g in 100.",
			w.Bad, w.Good+w.Bad, spanName(w.Span), (1-s.Objective)*100),
	}

	if s.State > burnrate.Recovering && !s.Since.IsZero() {
		lines = append(lines, fmt.Sprintf("It has gone on since about %s.", s.Since.UTC().Format(timeLayout)))
	}

	if len(s.Causes) > 0 {
		var causes []string
		for _, c := range s.Causes {
			causes = append(causes, fmt.Sprintf("%d were %s", c.Count, causePhrases[c.Event]))
		}

		lines = append(lines, "Of these, "+strings.Join(causes, ", ")+".", "First "+hints[s.Causes[0].Event]+".")
	}

	return lines
}

// spanName returns the length of a window as in "in the last hour" or "in the last 3 days".
func spanName(d time.Duration) string {
	switch {
	case d >= 24*time.Hour:
		return fmt.Sprintf("%d days", d/(24*time.Hour))
	case d > time.Hour:
		return fmt.Sprintf("%d hours", d/time.Hour)
	case d == time.Hour:
		return "hour"
	default:
		return fmt.Sprintf("%d minutes", d/time.Minute)
	}
}

// notOK returns the series of r whose state is not OK.
func notOK(r burnrate.Report) []burnrate.Series {
	var list []burnrate.Series

	for _, s := range r.Series {
		if s.State > burnrate.OK {
			list = append(list, s)
		}
	}

	return list
}

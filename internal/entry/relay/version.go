package relay

import (
	"context"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// streamVersion is the software version at which a stream is generated. It may change until the caller has an event of the
// stream.
type streamVersion struct {
	chosen     bool
	version    entity.SoftwareVersion
	passedOver []entity.SoftwareVersion // versions that could not serve the stream in time
	recorded   <-chan struct{}          // closed once other hosts know the version; nil if they need not
	began      entity.RequestID         // request under which the version was recorded; empty if it was not
}

// maxRecordWait bounds how long the first event of a stream waits until another host knows the version.
const maxRecordWait = 50 * time.Millisecond

// resumes reports whether the request takes up a stream that an earlier request of the caller began.
func (j *job) resumes() bool { return j.r.LastEventID != "" || j.r.Resumes != "" }

// rank returns the urgency of the request. A stream that is taken up goes before new ones, since it has nowhere else to go.
func (j *job) rank() int {
	if j.resumes() {
		return 0
	}

	return j.account.RankOn(j.route)
}

// takeUp sets the version of a stream that the request takes up to that at which it began. An error means that the
// request cannot be served.
func (j *job) takeUp(ctx context.Context) *verdict.Error {
	began := j.r.Resumes
	if began == "" {
		began = j.r.ID
	}

	origin, ok := j.opts.Origins.Find(ctx, j.service.Name, began)
	targets := len(j.opts.Fleet().AtVersion(j.service.Name, entity.Decode, origin.Version))

	j.opts.Log.Info().Str("request", string(j.r.ID)).Str("resumes", string(j.r.Resumes)).Bool("known", ok).Str("version", string(origin.Version)).
		Str("source", string(origin.Source)).Dur("age", origin.Age).Int("targets", targets).Msg("a stream is taken up")

	switch {
	case !ok:
		return verdict.New(verdict.NotRun, verdict.CodeUnknownOrigin, "the version that began the stream is unknown").WithRetryAfter(noTargetRetryAfter)
	case targets == 0:
		return verdict.New(verdict.NotRun, verdict.CodeNoTarget, "no replica of the version that began the stream accepts work").
			WithRetryAfter(noTargetRetryAfter)
	}

	j.at = streamVersion{chosen: true, version: origin.Version, began: began, recorded: j.opts.Origins.Record(j.service.Name, began, origin.Version)}

	return nil
}

// chooseVersion chooses the version of a stream that has not begun, and reports whether that is possible. Versions that were
// passed over are not chosen. Those that other hosts may not know of are chosen only if there is no other one, and of these, those that hosts
// would not know of after all were killed come last.
func (j *job) chooseVersion() bool {
	prefill, decode := j.opts.Fleet().InRole(j.service.Name, entity.Prefill), j.opts.Fleet().InRole(j.service.Name, entity.Decode)
	if admitted := j.admitted(decode); len(admitted) > 0 {
		prefill, decode = j.admitted(prefill), admitted
	}

	unlisted := j.opts.Origins.Unlisted(j.service.Name)

	var (
		version entity.SoftwareVersion
		ok      bool
	)

	for _, avoided := range [][]entity.SoftwareVersion{slices.Concat(j.opts.Origins.New(j.service.Name), unlisted), unlisted, nil} {
		if version, ok = placing.ChooseVersion(j.placingJob(), prefill, decode, slices.Concat(avoided, j.at.passedOver)); ok {
			break
		}
	}

	before := j.at
	j.at.chosen, j.at.version = ok, version

	if ok && j.route.Repeat == catalog.Resumable && (!before.chosen || before.version != version) {
		j.at.recorded, j.at.began = j.opts.Origins.Record(j.service.Name, j.r.ID, version), j.r.ID
	}

	return ok
}

// passOver makes the stream, which has not begun, choose another version. It reports false, and keeps the present
// version, if there is none or the stream is bound to its version.
func (j *job) passOver() bool {
	if !j.at.chosen || j.resumes() {
		return false
	}

	before := j.at
	j.at.passedOver = append(slices.Clone(before.passedOver), before.version)

	if !j.chooseVersion() {
		j.at = before

		return false
	}

	return true
}

// awaitRecord waits until another host knows the version of the stream, for maxRecordWait at most, so that its caller can take
// it up even if this host is lost right after the first event.
func (j *job) awaitRecord(ctx context.Context) {
	if j.at.began != "" {
		j.opts.Origins.Begun(j.service.Name, j.at.began)
	}

	if j.at.recorded == nil {
		return
	}

	select {
	case <-j.at.recorded:
		return
	default:
	}

	timer := j.opts.Clock.NewTimer(maxRecordWait)
	defer timer.Stop()

	select {
	case <-j.at.recorded:
	case <-timer.Chan():
		j.opts.Log.Info().Str("request", string(j.r.ID)).Str("version", string(j.at.version)).Msg("no other host knows the version of a stream yet")
	case <-ctx.Done():
	}
}

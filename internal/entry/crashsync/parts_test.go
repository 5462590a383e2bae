package crashsync_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	tableTick  = 100 * time.Millisecond
	soundParts = 200 // parts that only sound prompts have beside the first one
	besideRuns = 4   // sound runs that had not begun on a target that crashes
)

// crashingPart is a part that crashes targets, firstPart one that all prompts share. Sound prompts have a further part each.
const firstPart, crashingPart crashtracker.Fingerprint = 1, 2

// tick lets the tables of all hosts follow the time until ctx ends.
func (f *fleet) tick(ctx context.Context) {
	for ctx.Err() == nil {
		for _, n := range f.nodes {
			table, _, _ := n.parts()
			table.Tick(time.Now(), nil, func(entity.TargetID) bool { return false })
		}

		time.Sleep(tableTick)
	}
}

// soundPrompt returns the shared parts of a random sound prompt.
func (f *fleet) soundPrompt() []crashtracker.Fingerprint {
	return []crashtracker.Fingerprint{firstPart, 10 + crashtracker.Fingerprint(f.uniform()*soundParts)}
}

// partLoad sends prompts with the crashing part at the given interval, each through a random host, and sound ones that often. A
// crash breaks off some sound runs, through random hosts, that begin elsewhere soon. partLoad returns the crashes and the number of
// sound prompts that were refused.
func (f *fleet) partLoad(interval, length, window time.Duration) (crashes []crash, refusedSound int) {
	for i := range int(length / interval) {
		n, sound := f.random(), f.random()
		table, _, started := n.parts()
		prompt := f.soundPrompt()

		if soundTable, _, _ := sound.parts(); soundTable.JudgeParts(time.Now(), prompt).Refused {
			refusedSound++
		} else {
			soundTable.RecordBegin(time.Now(), prompt)
		}

		crashing := []crashtracker.Fingerprint{firstPart, crashingPart}
		if !table.JudgeParts(time.Now(), crashing).Refused {
			time.Sleep(runTime)

			target := entity.TargetID(fmt.Sprint("target-", i))
			table.RecordBrokenRun(time.Now(), target, crashing)
			table.RecordCrash(time.Now(), target)

			crashes = append(crashes, crash{time.Now(), time.Since(started) >= window})

			for range besideRuns {
				beside, _, _ := f.random().parts()
				prompt := f.soundPrompt()
				beside.RecordBrokenRun(time.Now(), target, prompt)
				beside.RecordCrash(time.Now(), target)
				time.AfterFunc(2*tableTick, func() { beside.RecordBegin(time.Now(), prompt) })
			}
		}

		time.Sleep(interval)
	}

	return crashes, refusedSound
}

func TestCrashingPartReachesFewTargetsAfterTheFifth(t *testing.T) {
	const (
		interval = 100 * time.Millisecond
		length   = 12 * time.Second
		due      = 5 // crashes after which the window begins
	)

	faults := map[string]func(ctx context.Context, f *fleet){
		"calm":                  func(context.Context, *fleet) {},
		"messages lost":         func(_ context.Context, f *fleet) { f.setLoss(0.1) },
		"hosts start again":     restartHosts,
		"a data centre cut off": func(_ context.Context, f *fleet) { f.setCut("dc-1"); time.AfterFunc(length/3, func() { f.setCut("") }) },
	}

	for name, inject := range faults {
		for _, s := range []size{sizes[0], sizes[3], sizes[4]} {
			t.Run(fmt.Sprintf("%s/%d hosts", name, s.hosts), func(t *testing.T) {
				play(t, s, 1, func(ctx context.Context, f *fleet) {
					go f.tick(ctx)

					time.Sleep(s.window)
					inject(ctx, f)

					crashes, refused := f.partLoad(interval, length, s.window)
					late := 0

					for i, c := range crashes {
						if i >= due && c.inTouch && c.at.Sub(crashes[due-1].at) > s.window {
							late++
						}
					}

					t.Logf("%d targets crashed, %d late, %d sound prompts refused; %d messages, %d records",
						len(crashes), late, refused, f.messages.Load(), f.records.Load())
					require.GreaterOrEqual(t, len(crashes), 4)
					require.LessOrEqual(t, late, allowedRetries)
					require.Zero(t, refused)
				})
			})
		}
	}
}

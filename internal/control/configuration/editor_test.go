package configuration_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/document"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const template = "templates:\n  - name: plain\n    parameters: [{name: open, type: integer, default: 1}]\n" +
	"    limits: {open: $open}\n    kinds: [{name: k, model: m, deadline: 1s}]\n"

func account(id string, open int) string {
	return fmt.Sprintf("accounts:\n  - {id: %s, template: plain, key-hashes: [\"%s\"], parameters: {open: %d}}\n", id, entity.HashKey(id), open)
}

// edit returns an edit with the id "edit-"+id that creates or replaces all items of texts, which are YAML documents.
func edit(t testing.TB, id string, base entity.Generation, texts ...string) configuration.Edit {
	t.Helper()

	var changes []configuration.Change

	for _, text := range texts {
		d, err := document.Parse("f.yaml", []byte(text))
		require.NoError(t, err)

		c, err := configuration.ChangesOf(d)
		require.NoError(t, err)

		changes = append(changes, c...)
	}

	return configuration.Edit{ID: configuration.EditID("edit-" + id), Base: base, Changes: changes}
}

func newEditor(view *standin.View) *configuration.Editor {
	return configuration.NewEditor(view, clockwork.NewRealClock(), nil)
}

// storedContents returns the configuration that the platform holds.
func storedContents(t testing.TB, store *standin.Store) *configuration.Contents {
	t.Helper()

	c, err := configuration.Read(context.Background(), store.View(), nil)
	require.NoError(t, err)

	return c
}

// contextWithTimeout returns a context that ends after 5 s, or with the test.
func contextWithTimeout(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)

	return ctx
}

// openLimit returns the account's limit of open requests in c.
func openLimit(t testing.TB, c *configuration.Contents, id entity.AccountID) int {
	t.Helper()

	a, ok := c.Snapshot().Account(id)
	require.True(t, ok, id)

	return a.Limits.Open
}

func TestRacedEditsLoseNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(clockwork.NewRealClock())

		g, err := newEditor(store.View()).Apply(contextWithTimeout(t), edit(t, "0000", 0, template, account("a", 1), account("b", 1)))
		require.NoError(t, err)
		require.Equal(t, entity.Generation(1), g)

		g, err = newEditor(store.View()).Apply(contextWithTimeout(t), edit(t, "0001", 1, account("a", 2)))
		require.NoError(t, err)
		require.Equal(t, entity.Generation(2), g)

		// An edit of another item on the same base is accepted too.
		_, err = newEditor(store.View()).Apply(contextWithTimeout(t), edit(t, "0002", 1, account("b", 3)))
		require.NoError(t, err)

		// An edit of the same item on the old base is refused, with the difference.
		_, err = newEditor(store.View()).Apply(contextWithTimeout(t), edit(t, "0003", 1, account("a", 4)))

		var conflict *configuration.ConflictError

		require.ErrorAs(t, err, &conflict)
		require.Equal(t, entity.Generation(3), conflict.Generation)
		require.Len(t, conflict.Conflicts, 1)
		require.Equal(t, "a", conflict.Conflicts[0].Name)
		require.Contains(t, conflict.Conflicts[0].Diff, "-       open: 2\n+       open: 4\n")

		c := storedContents(t, store)
		require.Equal(t, 2, openLimit(t, c, "a"))
		require.Equal(t, 3, openLimit(t, c, "b"))
	})
}

func TestTemplateChangeConflictsWithItsAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(clockwork.NewRealClock())
		ed := newEditor(store.View())

		_, err := ed.Apply(contextWithTimeout(t), edit(t, "0000", 0, template, account("a", 1)))
		require.NoError(t, err)

		_, err = ed.Apply(contextWithTimeout(t), edit(t, "0001", 1, strings.Replace(template, "1s", "2s", 1)))
		require.NoError(t, err)

		_, err = ed.Apply(contextWithTimeout(t), edit(t, "0002", 1, account("a", 2)))

		var conflict *configuration.ConflictError

		require.ErrorAs(t, err, &conflict)
		require.Equal(t, configuration.Template, conflict.Conflicts[0].Kind)
	})
}

func TestDeletedItemConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(clockwork.NewRealClock())
		ed := newEditor(store.View())

		_, err := ed.Apply(contextWithTimeout(t), edit(t, "0000", 0, template, account("a", 1)))
		require.NoError(t, err)

		deleted := configuration.Ref{Kind: configuration.Account, Name: "a"}
		_, err = ed.Apply(contextWithTimeout(t), configuration.Edit{ID: "edit-0001", Base: 1, Changes: []configuration.Change{{Ref: deleted}}})
		require.NoError(t, err)

		_, err = ed.Apply(contextWithTimeout(t), edit(t, "0002", 1, account("a", 2)))

		var conflict *configuration.ConflictError

		require.ErrorAs(t, err, &conflict)

		_, err = ed.Apply(contextWithTimeout(t), configuration.Edit{ID: "edit-0003", Base: 2, Changes: []configuration.Change{
			{Ref: configuration.Ref{Kind: configuration.Template, Name: "plain"}},
		}})
		require.NoError(t, err)
	})
}

func TestLostAnswers(t *testing.T) {
	tests := []struct {
		name      string
		faults    standin.Faults
		faultsFor time.Duration
		want      error
	}{
		{"answers lost for a while", standin.Faults{LoseAnswer: true}, time.Second, nil},
		{"answers lost, writes late", standin.Faults{LoseAnswer: true, LateWrite: 700 * time.Millisecond}, time.Second, nil},
		{"answers lost, writes late, to the end", standin.Faults{LoseAnswer: true, LateWrite: 1500 * time.Millisecond}, time.Minute, nil},
		{"down for a while", standin.Faults{Down: true}, time.Second, nil},
		{"down to the end", standin.Faults{Down: true}, time.Minute, configuration.ErrNotAccepted},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := standin.NewStore(clockwork.NewRealClock())

				_, err := newEditor(store.View()).Apply(contextWithTimeout(t), edit(t, "0000", 0, template, account("a", 1)))
				require.NoError(t, err)

				view := store.View()
				view.SetFaults(tt.faults)
				time.AfterFunc(tt.faultsFor, func() { view.SetFaults(standin.Faults{}) })

				e := edit(t, "0001", 1, account("a", 2))
				g, err := newEditor(view).Apply(contextWithTimeout(t), e)
				require.ErrorIs(t, err, tt.want)

				c := storedContents(t, store)

				if tt.want != nil {
					time.Sleep(time.Minute)
					require.Equal(t, 1, openLimit(t, storedContents(t, store), "a"))

					return
				}

				require.Equal(t, entity.Generation(2), g)
				require.Equal(t, g, c.Generation())
				require.Equal(t, 2, openLimit(t, c, "a"))

				// Sent again through another host, the edit is not applied twice.
				again, err := newEditor(store.View()).Apply(contextWithTimeout(t), e)
				require.NoError(t, err)
				require.Equal(t, g, again)
			})
		})
	}
}

// TestUnsettledIsNeverCalledNotAccepted checks that an edit is reported as unsettled if the platform becomes
// unreachable right after the write of the head was sent.
func TestUnsettledIsNeverCalledNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(clockwork.NewRealClock())

		_, err := newEditor(store.View()).Apply(contextWithTimeout(t), edit(t, "0000", 0, template, account("a", 1)))
		require.NoError(t, err)

		view := &cutAfterHeadWrite{View: store.View()}
		e := edit(t, "0001", 1, account("a", 2))

		_, err = configuration.NewEditor(view, clockwork.NewRealClock(), nil).Apply(contextWithTimeout(t), e)
		require.ErrorIs(t, err, configuration.ErrUnsettled)

		// The write takes effect later, and the same edit, sent again, returns its generation.
		time.Sleep(time.Minute)

		g, err := newEditor(store.View()).Apply(contextWithTimeout(t), e)
		require.NoError(t, err)
		require.Equal(t, entity.Generation(2), g)
		require.Equal(t, 2, openLimit(t, storedContents(t, store), "a"))
	})
}

// cutAfterHeadWrite loses the answer to a write of the head, which takes effect 20 s later, and makes the
// platform unreachable from then on.
type cutAfterHeadWrite struct{ *standin.View }

func (v *cutAfterHeadWrite) Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error) {
	if key != configuration.HeadKey {
		return v.View.Put(ctx, key, expect, value)
	}

	v.SetFaults(standin.Faults{LoseAnswer: true, LateWrite: 20 * time.Second})

	version, err := v.View.Put(ctx, key, expect, value)

	v.SetFaults(standin.Faults{Down: true})

	return version, err
}

// TestShardWithoutHeadHasNoEffect checks that an edit that fails between the writes of its shards and of
// its head changes nothing, and that later edits delete its shards.
func TestShardWithoutHeadHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(clockwork.NewRealClock())

		_, err := newEditor(store.View()).Apply(contextWithTimeout(t), edit(t, "0000", 0, template, account("a", 1)))
		require.NoError(t, err)

		failing := &failingHeadWrites{View: store.View()}

		_, err = configuration.NewEditor(failing, clockwork.NewRealClock(), nil).Apply(contextWithTimeout(t), edit(t, "0001", 1, account("a", 2)))
		require.ErrorIs(t, err, configuration.ErrNotAccepted)
		require.Equal(t, 1, openLimit(t, storedContents(t, store), "a"))

		// Later edits find and delete the shards of the failed one.
		for i := 1; i <= 40; i++ {
			_, err := newEditor(store.View()).Apply(contextWithTimeout(t), edit(t, fmt.Sprintf("1%03d", i), entity.Generation(i), account("b", i)))
			require.NoError(t, err)
		}

		require.Equal(t, 1, openLimit(t, storedContents(t, store), "a"))

		objects, err := store.View().List(t.Context(), "config/shard/")
		require.NoError(t, err)
		require.Len(t, objects, 3) // the templates and the shards of a and b
	})
}

// failingHeadWrites refuses each write of the head.
type failingHeadWrites struct{ *standin.View }

func (v *failingHeadWrites) Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error) {
	if key == configuration.HeadKey {
		return 0, platform.ErrUnavailable
	}

	return v.View.Put(ctx, key, expect, value)
}

func TestRefusedEditChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(clockwork.NewRealClock())
		ed := newEditor(store.View())

		_, err := ed.Apply(contextWithTimeout(t), edit(t, "0000", 0, template, account("a", 1)))
		require.NoError(t, err)

		_, err = ed.Apply(contextWithTimeout(t), configuration.Edit{ID: "edit-0001", Base: 1, Changes: []configuration.Change{
			{Ref: configuration.Ref{Kind: configuration.Template, Name: "plain"}},
		}})
		require.ErrorContains(t, err, "account a: there is no template \"plain\"")
		require.Equal(t, entity.Generation(1), storedContents(t, store).Generation())
	})
}

// TestSlowPlatform checks that an edit that changes every shard is accepted within 15 s while each call
// takes a second.
func TestSlowPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		view := standin.NewStore(clockwork.NewRealClock()).View()
		view.SetFaults(standin.Faults{Delay: time.Second})

		texts := []string{template}
		for i := range 1000 {
			texts = append(texts, account(fmt.Sprintf("account-%d", i), 1))
		}

		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()

		_, err := newEditor(view).Apply(ctx, edit(t, "0000", 0, texts...))
		require.NoError(t, err)
	})
}

// TestOldBaseIsRefused checks that an accepted edit is refused, not applied twice, if it is sent again
// after the head has dropped its id.
func TestOldBaseIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(clockwork.NewRealClock())
		ed := newEditor(store.View())

		first := edit(t, "0000", 0, template, account("a", 1))
		_, err := ed.Apply(contextWithTimeout(t), first)
		require.NoError(t, err)

		for i := 1; i <= configuration.EditWindow; i++ {
			_, err := ed.Apply(contextWithTimeout(t), edit(t, fmt.Sprintf("1%03d", i), entity.Generation(i), account("b", i)))
			require.NoError(t, err)
		}

		_, err = ed.Apply(contextWithTimeout(t), first)

		var conflict *configuration.ConflictError

		require.ErrorAs(t, err, &conflict)
		require.Empty(t, conflict.Conflicts)
	})
}

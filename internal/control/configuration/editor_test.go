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
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const template = "templates:\n  - name: plain\n    parameters: [{name: open, type: integer, default: 1}]\n" +
	"    limits: {open: $open}\n    kinds: [{name: k, model: m, deadline: 1s}]\n"

func account(id string, open int) string {
	return fmt.Sprintf("accounts:\n  - {id: %s, template: plain, key-hashes: [\"%s\"], parameters: {open: %d}}\n", id, table.HashKey(id), open)
}

func edit(t testing.TB, id string, base table.Generation, texts ...string) configuration.Edit {
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

func editor(view *standin.View) *configuration.Editor {
	return configuration.NewEditor(view, clockwork.NewRealClock(), nil)
}

// stored returns what the platform holds.
func stored(t testing.TB, store *standin.Store) *configuration.Contents {
	t.Helper()

	c, err := configuration.Read(context.Background(), store.View(), nil)
	require.NoError(t, err)

	return c
}

func limited(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	t.Cleanup(cancel)

	return ctx
}

func open(t testing.TB, c *configuration.Contents, id table.AccountID) int {
	t.Helper()

	a, ok := c.Snapshot().Account(id)
	require.True(t, ok, id)

	return a.Limits.Open
}

func TestRacedEditsLoseNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(clockwork.NewRealClock())

		g, err := editor(store.View()).Apply(limited(t), edit(t, "0000", 0, template, account("a", 1), account("b", 1)))
		require.NoError(t, err)
		require.Equal(t, table.Generation(1), g)

		g, err = editor(store.View()).Apply(limited(t), edit(t, "0001", 1, account("a", 2)))
		require.NoError(t, err)
		require.Equal(t, table.Generation(2), g)

		// Another item, on the same base: both stand.
		_, err = editor(store.View()).Apply(limited(t), edit(t, "0002", 1, account("b", 3)))
		require.NoError(t, err)

		// The same item, on the old base: refused with the difference.
		_, err = editor(store.View()).Apply(limited(t), edit(t, "0003", 1, account("a", 4)))

		var conflict *configuration.ConflictError

		require.ErrorAs(t, err, &conflict)
		require.Equal(t, table.Generation(3), conflict.Generation)
		require.Len(t, conflict.Conflicts, 1)
		require.Equal(t, "a", conflict.Conflicts[0].Name)
		require.Contains(t, conflict.Conflicts[0].Diff, "-       open: 2\n+       open: 4\n")

		c := stored(t, store)
		require.Equal(t, 2, open(t, c, "a"))
		require.Equal(t, 3, open(t, c, "b"))
	})
}

func TestTemplateChangeConflictsWithItsAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(clockwork.NewRealClock())
		ed := editor(store.View())

		_, err := ed.Apply(limited(t), edit(t, "0000", 0, template, account("a", 1)))
		require.NoError(t, err)

		_, err = ed.Apply(limited(t), edit(t, "0001", 1, strings.Replace(template, "1s", "2s", 1)))
		require.NoError(t, err)

		_, err = ed.Apply(limited(t), edit(t, "0002", 1, account("a", 2)))

		var conflict *configuration.ConflictError

		require.ErrorAs(t, err, &conflict)
		require.Equal(t, configuration.Template, conflict.Conflicts[0].Kind)
	})
}

func TestDeletedItemConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(clockwork.NewRealClock())
		ed := editor(store.View())

		_, err := ed.Apply(limited(t), edit(t, "0000", 0, template, account("a", 1)))
		require.NoError(t, err)

		gone := configuration.Ref{Kind: configuration.Account, Name: "a"}
		_, err = ed.Apply(limited(t), configuration.Edit{ID: "edit-0001", Base: 1, Changes: []configuration.Change{{Ref: gone}}})
		require.NoError(t, err)

		_, err = ed.Apply(limited(t), edit(t, "0002", 1, account("a", 2)))

		var conflict *configuration.ConflictError

		require.ErrorAs(t, err, &conflict)

		_, err = ed.Apply(limited(t), configuration.Edit{ID: "edit-0003", Base: 2, Changes: []configuration.Change{
			{Ref: configuration.Ref{Kind: configuration.Template, Name: "plain"}},
		}})
		require.NoError(t, err)
	})
}

func TestLostAnswers(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
		lasts  time.Duration
		want   error
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

				_, err := editor(store.View()).Apply(limited(t), edit(t, "0000", 0, template, account("a", 1)))
				require.NoError(t, err)

				view := store.View()
				view.SetFaults(tt.faults)
				time.AfterFunc(tt.lasts, func() { view.SetFaults(standin.Faults{}) })

				e := edit(t, "0001", 1, account("a", 2))
				g, err := editor(view).Apply(limited(t), e)
				require.ErrorIs(t, err, tt.want)

				c := stored(t, store)

				if tt.want != nil {
					time.Sleep(time.Minute)
					require.Equal(t, 1, open(t, stored(t, store), "a"))

					return
				}

				require.Equal(t, table.Generation(2), g)
				require.Equal(t, g, c.Generation())
				require.Equal(t, 2, open(t, c, "a"))

				// Sent again through another host, the edit is not made twice.
				again, err := editor(store.View()).Apply(limited(t), e)
				require.NoError(t, err)
				require.Equal(t, g, again)
			})
		})
	}
}

// TestUnsettledIsNeverCalledNotAccepted cuts the platform off right after the swing was sent.
func TestUnsettledIsNeverCalledNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(clockwork.NewRealClock())

		_, err := editor(store.View()).Apply(limited(t), edit(t, "0000", 0, template, account("a", 1)))
		require.NoError(t, err)

		view := &cutAfterSwing{View: store.View()}
		e := edit(t, "0001", 1, account("a", 2))

		_, err = configuration.NewEditor(view, clockwork.NewRealClock(), nil).Apply(limited(t), e)
		require.ErrorIs(t, err, configuration.ErrUnsettled)

		// The write lands later all the same; the same edit, sent again, says so.
		time.Sleep(time.Minute)

		g, err := editor(store.View()).Apply(limited(t), e)
		require.NoError(t, err)
		require.Equal(t, table.Generation(2), g)
		require.Equal(t, 2, open(t, stored(t, store), "a"))
	})
}

type cutAfterSwing struct{ *standin.View }

func (v *cutAfterSwing) Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error) {
	if key != configuration.HeadKey {
		return v.View.Put(ctx, key, expect, value)
	}

	v.SetFaults(standin.Faults{LoseAnswer: true, LateWrite: 20 * time.Second})

	version, err := v.View.Put(ctx, key, expect, value)

	v.SetFaults(standin.Faults{Down: true})

	return version, err
}

// TestShardWithoutHeadHasNoEffect lets an edit die between its shards and its head.
func TestShardWithoutHeadHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(clockwork.NewRealClock())

		_, err := editor(store.View()).Apply(limited(t), edit(t, "0000", 0, template, account("a", 1)))
		require.NoError(t, err)

		dead := &noHead{View: store.View()}

		_, err = configuration.NewEditor(dead, clockwork.NewRealClock(), nil).Apply(limited(t), edit(t, "0001", 1, account("a", 2)))
		require.ErrorIs(t, err, configuration.ErrNotAccepted)
		require.Equal(t, 1, open(t, stored(t, store), "a"))

		// Later edits find and delete what it left behind.
		for i := 1; i <= 40; i++ {
			_, err := editor(store.View()).Apply(limited(t), edit(t, fmt.Sprintf("1%03d", i), table.Generation(i), account("b", i)))
			require.NoError(t, err)
		}

		require.Equal(t, 1, open(t, stored(t, store), "a"))

		objects, err := store.View().List(t.Context(), "config/shard/")
		require.NoError(t, err)
		require.Len(t, objects, 3) // the templates and the shards of a and b
	})
}

type noHead struct{ *standin.View }

func (v *noHead) Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error) {
	if key == configuration.HeadKey {
		return 0, platform.ErrUnavailable
	}

	return v.View.Put(ctx, key, expect, value)
}

func TestRefusedEditChangesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(clockwork.NewRealClock())
		ed := editor(store.View())

		_, err := ed.Apply(limited(t), edit(t, "0000", 0, template, account("a", 1)))
		require.NoError(t, err)

		_, err = ed.Apply(limited(t), configuration.Edit{ID: "edit-0001", Base: 1, Changes: []configuration.Change{
			{Ref: configuration.Ref{Kind: configuration.Template, Name: "plain"}},
		}})
		require.ErrorContains(t, err, "account a: there is no template \"plain\"")
		require.Equal(t, table.Generation(1), stored(t, store).Generation())
	})
}

// TestSlowPlatform makes an edit that touches every shard while each call takes a second.
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

		_, err := editor(view).Apply(ctx, edit(t, "0000", 0, texts...))
		require.NoError(t, err)
	})
}

// TestOldBaseIsRefused covers an edit id that the head no longer keeps.
func TestOldBaseIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore(clockwork.NewRealClock())
		ed := editor(store.View())

		first := edit(t, "0000", 0, template, account("a", 1))
		_, err := ed.Apply(limited(t), first)
		require.NoError(t, err)

		for i := 1; i <= configuration.EditWindow; i++ {
			_, err := ed.Apply(limited(t), edit(t, fmt.Sprintf("1%03d", i), table.Generation(i), account("b", i)))
			require.NoError(t, err)
		}

		_, err = ed.Apply(limited(t), first)

		var conflict *configuration.ConflictError

		require.ErrorAs(t, err, &conflict)
		require.Empty(t, conflict.Conflicts)
	})
}

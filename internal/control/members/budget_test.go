package members_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/control/retries"
)

// heardTables returns the tables of hosts that know only those from which heartbeats reach them.
func heardTables(hosts, centres int) []*members.Table {
	all := make([]members.Member, hosts)
	known, heard := make([]*members.Table, hosts), make([]*members.Table, hosts)

	for i := range all {
		m := member(i)
		m.DataCentre = entity.DataCentre(fmt.Sprint("dc-", i%centres))
		m.LocalHosts = (hosts + centres - 1 - i%centres) / centres
		all[i] = m
		known[i], heard[i] = members.New(m.Host, m.DataCentre), members.New(m.Host, m.DataCentre)
	}

	index := map[entity.HostID]int{}

	for i, m := range all {
		index[m.Host] = i

		for _, table := range known {
			table.Update(m)
		}
	}

	for i, table := range known {
		for _, p := range table.HeartbeatPartners(epoch) {
			heard[i].Update(p)
			heard[index[p.Host]].Update(all[i])
		}
	}

	return heard
}

func TestRetriesOfALargeFleetWithoutTrafficStayWithinTheSlack(t *testing.T) {
	const slack = 218

	for _, f := range []struct{ hosts, centres int }{{8, 4}, {89, 4}, {330, 5}} {
		retried := 0

		for _, table := range heardTables(f.hosts, f.centres) {
			limiter := retries.NewLimiter(retries.LimiterOptions{Ratio: 0.2, Slack: slack, Span: 10 * time.Second, Margin: 1})

			hosts := 0
			for _, n := range table.HostCounts(epoch) {
				hosts += n
			}

			limiter.SetHosts(hosts)

			for limiter.Take(epoch, "s") {
				retried++
			}
		}

		require.LessOrEqual(t, retried, slack, "%d hosts", f.hosts)
	}
}

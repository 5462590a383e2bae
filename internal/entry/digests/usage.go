package digests

import (
	"github.com/dotterelflow/dotterelflow/internal/control/duties"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/usage"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// maxUsageRecords bounds the records that are read of a digest: several windows of the hosts of a fleet.
const maxUsageRecords = 4096

func encodeUsage(m usage.Message) *peer.Usage {
	u := &peer.Usage{Position: m.Position, Confirmed: m.Confirmed, Collects: m.Collects}

	for _, r := range m.Records {
		record := &peer.UsageRecord{Host: string(r.Host), Window: int64(r.Window)}

		for account, n := range r.Counts {
			record.Accounts = append(record.Accounts, string(account))
			record.Counts = append(record.Counts, n)
		}

		u.Records = append(u.Records, record)
	}

	return u
}

func decodeUsage(u *peer.Usage) usage.Message {
	m := usage.Message{Position: u.GetPosition(), Confirmed: u.GetConfirmed(), Collects: u.GetCollects()}

	for _, record := range u.GetRecords()[:min(len(u.GetRecords()), maxUsageRecords)] {
		r := usage.Record{Host: entity.HostID(record.GetHost()), Window: duties.Window(record.GetWindow()), Counts: usage.Counts{}}

		for i, account := range record.GetAccounts()[:min(len(record.GetAccounts()), len(record.GetCounts()))] {
			r.Counts[entity.AccountID(account)] = record.GetCounts()[i]
		}

		m.Records = append(m.Records, r)
	}

	return m
}

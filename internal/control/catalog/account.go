package catalog

import (
	"crypto/sha256"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Account is a client account whose requests name it by one of its keys.
type Account struct {
	ID   entity.AccountID
	Keys []string
	// Rank is the urgency of the account's requests, which takes precedence over that of their routes; zero is the most urgent.
	// It only counts if HasRank is set.
	Rank    int
	HasRank bool
}

// RankOn returns the urgency of the account's requests on route.
func (a Account) RankOn(route Route) int {
	if a.HasRank {
		return a.Rank
	}

	return route.Rank
}

// Scaling bounds and prices the replicas of a service whose number is ordered by need.
type Scaling struct {
	Min, Max int           // bounds on the ordered replicas of one data centre, reclaimable ones included
	Boot     time.Duration // time from the order of a replica until it serves
	// ReclaimablePrice is the price of a reclaimable replica as a fraction of that of an ordinary one; zero if there are none.
	ReclaimablePrice float64
	Prices           map[entity.DataCentre]float64 // price of a replica per second
}

// keyHash identifies a key. Look-ups by hash take a time that says nothing of similar keys.
type keyHash [sha256.Size]byte

// HasAccounts reports whether requests must name an account by its key, except those on public routes.
func (c *Catalog) HasAccounts() bool { return c != nil && len(c.accounts) > 0 }

// Accounts returns the accounts in the order of the configuration. The result must not be modified.
func (c *Catalog) Accounts() []Account {
	if c == nil {
		return nil
	}

	return c.accounts
}

// AccountOf returns the account that holds key. If several hold it, the first one counts.
func (c *Catalog) AccountOf(key string) (Account, bool) {
	if c == nil || key == "" {
		return Account{}, false
	}

	a, ok := c.byKey[sha256.Sum256([]byte(key))]
	if !ok {
		return Account{}, false
	}

	return c.accounts[a], true
}

// indexKeys returns the positions of the accounts by the hashes of their keys.
func indexKeys(accounts []Account) map[keyHash]int {
	byKey := make(map[keyHash]int)

	for i, a := range accounts {
		for _, key := range a.Keys {
			if _, taken := byKey[sha256.Sum256([]byte(key))]; !taken && key != "" {
				byKey[sha256.Sum256([]byte(key))] = i
			}
		}
	}

	return byKey
}

package entity

import (
	"crypto/sha256"
	"encoding/hex"
)

// Weights holds the relative weights of a deployment's goals. They scale the terms of the decision on
// role changes. A zero field counts as 1.
type Weights struct {
	Goodput    float64 `json:"goodput,omitempty"`
	RoleChange float64 `json:"role-change,omitempty"`
}

// Config is one accepted configuration. It must not be changed once published.
type Config struct {
	Generation Generation
	Weights    Weights
	Accounts   []Account
	Targets    []Target
}

// Snapshot is a Config with indexes for look-ups by the request path. It is immutable. A nil *Snapshot is
// not usable.
type Snapshot struct {
	Config

	byKey     map[string]*Account
	byAccount map[AccountID]*Account
	byTarget  map[TargetID]*Target
}

// NewSnapshot returns a Snapshot of cfg, which must not be changed afterwards.
func NewSnapshot(cfg Config) *Snapshot {
	s := &Snapshot{
		Config:    cfg,
		byKey:     make(map[string]*Account, len(cfg.Accounts)),
		byAccount: make(map[AccountID]*Account, len(cfg.Accounts)),
		byTarget:  make(map[TargetID]*Target, len(cfg.Targets)),
	}

	for i := range cfg.Accounts {
		a := &cfg.Accounts[i]
		s.byAccount[a.ID] = a

		for _, hash := range a.KeyHashes {
			s.byKey[hash] = a
		}
	}

	for i := range cfg.Targets {
		s.byTarget[cfg.Targets[i].ID] = &cfg.Targets[i]
	}

	return s
}

// HashKey returns the hex SHA-256 of a bearer key, the form in which keys are stored.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))

	return hex.EncodeToString(sum[:])
}

// AccountByKey returns the account of a bearer key. The look-up uses the key's hash, so its timing
// reveals nothing about the key.
func (s *Snapshot) AccountByKey(key string) (*Account, bool) {
	a, ok := s.byKey[HashKey(key)]

	return a, ok
}

// Account returns the account with the given id.
func (s *Snapshot) Account(id AccountID) (*Account, bool) {
	a, ok := s.byAccount[id]

	return a, ok
}

// Target returns the target with the given id.
func (s *Snapshot) Target(id TargetID) (*Target, bool) {
	t, ok := s.byTarget[id]

	return t, ok
}

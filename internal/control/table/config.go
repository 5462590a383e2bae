package table

import (
	"crypto/sha256"
	"encoding/hex"
)

// Weights say how a deployment values its measures; they scale the decision on role changes.
// A zero field counts as 1.
type Weights struct {
	Goodput    float64 `json:"goodput,omitempty"`
	RoleChange float64 `json:"role-change,omitempty"`
}

// Config is one accepted configuration. It is immutable once published.
type Config struct {
	Generation Generation
	Weights    Weights
	Accounts   []Account
	Targets    []Target
}

// Snapshot indexes a Config for traffic. It is immutable; a nil *Snapshot is not usable.
type Snapshot struct {
	Config

	byKey     map[string]*Account
	byAccount map[AccountID]*Account
	byTarget  map[TargetID]*Target
}

// NewSnapshot indexes cfg, which must not change afterwards.
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

// HashKey returns the form in which a bearer key is kept: hex SHA-256.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))

	return hex.EncodeToString(sum[:])
}

// AccountByKey returns the account of a bearer key. The look-up is on the key's hash, so its
// time tells nothing about the key.
func (s *Snapshot) AccountByKey(key string) (*Account, bool) {
	a, ok := s.byKey[HashKey(key)]

	return a, ok
}

// Account returns the account id.
func (s *Snapshot) Account(id AccountID) (*Account, bool) {
	a, ok := s.byAccount[id]

	return a, ok
}

// Target returns the target id.
func (s *Snapshot) Target(id TargetID) (*Target, bool) {
	t, ok := s.byTarget[id]

	return t, ok
}

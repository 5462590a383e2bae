package settings

import (
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/site/yamlfile"
)

// Error is the class of this package's errors.
var Error = errs.Class("settings")

// Defaults for values that the file leaves out.
const (
	DefaultLogLevel        = "info"
	DefaultStopTimeout     = 2 * time.Minute
	DefaultPlatformTimeout = 2 * time.Second
	DefaultHeaderTimeout   = 10 * time.Second
	DefaultIdleTimeout     = 2 * time.Minute
)

// Listen holds the addresses that a host listens on, each an IP address and a port.
type Listen struct {
	Caller   string `yaml:"caller" validate:"required,ip-port"`
	Operator string `yaml:"operator" validate:"required,ip-port"`
	Peer     string `yaml:"peer" validate:"required,ip-port"`
	Metrics  string `yaml:"metrics,omitempty" validate:"omitempty,ip-port"` // empty: no metrics listener
}

// Settings are the settings of one entry host. Load fills in the defaults.
type Settings struct {
	ID         string            `yaml:"id" validate:"name"`
	DataCentre entity.DataCentre `yaml:"data-centre" validate:"name"`
	Listen     Listen            `yaml:"listen" validate:"required"`
	Platform   string            `yaml:"platform" validate:"required,ip-port"`
	Peers      []string          `yaml:"peers,omitempty" validate:"max=1000,unique,dive,ip-port"` // peer addresses of other hosts to join

	// The file sets exactly one of these two; Load sets OperatorKeyHash from the key file.
	OperatorKeyFile string  `yaml:"operator-key-file,omitempty" validate:"required_without=OperatorKeyHash,excluded_with=OperatorKeyHash"`
	OperatorKeyHash KeyHash `yaml:"operator-key-hash,omitempty" validate:"omitempty,key-hash"` // hex SHA-256

	LogLevel        string   `yaml:"log-level,omitempty" validate:"omitempty,oneof=debug info warn error"`
	StopTimeout     Duration `yaml:"stop-timeout,omitempty"`     // maximum wait for open streams after SIGTERM
	PlatformTimeout Duration `yaml:"platform-timeout,omitempty"` // limit on one call to the platform
	HeaderTimeout   Duration `yaml:"header-timeout,omitempty"`   // limit on the arrival of a request's head, from its first byte
	IdleTimeout     Duration `yaml:"idle-timeout,omitempty"`     // limit on the wait of a connection for its next request
}

// Load reads the settings file at path and the operator key file that it names. A relative path of the key file is
// resolved against the directory of the settings file. Load fails with a *yamlfile.InvalidError if the settings
// are invalid or the key file is unreadable or too short, and with an Error if the settings file is unreadable.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, Error.Wrap(err)
	}

	s, err := Parse(path, data)
	if err != nil {
		return Settings{}, err
	}

	if s.OperatorKeyFile == "" {
		return s, nil
	}

	file := s.OperatorKeyFile
	if !filepath.IsAbs(file) {
		file = filepath.Join(filepath.Dir(path), file)
	}

	key, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, yamlfile.NewInvalidError(path, 0, "operator-key-file: %v", err)
	}

	text := strings.TrimSpace(string(key))
	if len(text) < minKeyLength {
		return Settings{}, yamlfile.NewInvalidError(path, 0, "operator-key-file: the key in %s has fewer than %d characters", file, minKeyLength)
	}

	s.OperatorKeyHash = KeyHash(entity.HashKey(text))

	return s, nil
}

const minKeyLength = 16 // characters

// Parse decodes settings from data and fills in the defaults. It does not read the operator key file. Errors give
// name as the file. It fails with a *yamlfile.InvalidError.
func Parse(name string, data []byte) (Settings, error) {
	var s Settings

	if err := yamlfile.Decode(name, data, &s); err != nil {
		return Settings{}, err
	}

	if s.LogLevel == "" {
		s.LogLevel = DefaultLogLevel
	}

	if s.StopTimeout == 0 {
		s.StopTimeout = Duration(DefaultStopTimeout)
	}

	if s.PlatformTimeout == 0 {
		s.PlatformTimeout = Duration(DefaultPlatformTimeout)
	}

	if s.HeaderTimeout == 0 {
		s.HeaderTimeout = Duration(DefaultHeaderTimeout)
	}

	if s.IdleTimeout == 0 {
		s.IdleTimeout = Duration(DefaultIdleTimeout)
	}

	return s, nil
}

package operatorcli

import (
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/site/yamlfile"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
)

const defaultTimeout = 30 * time.Second

// Output formats.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// FormatFlag returns the flag --format.
func FormatFlag() cli.Flag {
	return &cli.StringFlag{Name: "format", Value: FormatText, Usage: "output `FORMAT`: text or json", Validator: checkFormat}
}

func checkFormat(s string) error {
	if s != FormatText && s != FormatJSON {
		return usageError("--format %q is unknown; use text or json", s)
	}

	return nil
}

// Flags returns the flags of commands that call an entry host and print text or JSON.
func Flags() []cli.Flag {
	return append(ConnectFlags(), FormatFlag())
}

// ConnectFlags returns the flags that Connect reads.
func ConnectFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "address", Usage: "`IP:PORT` of an entry host's operator listener",
			Sources: cli.EnvVars("DOTTERELFLOW_OPERATOR_ADDRESS"),
		},
		&cli.StringFlag{
			Name: "key-file", Usage: "`FILE` that holds the operator key",
			Sources: cli.EnvVars("DOTTERELFLOW_OPERATOR_KEY_FILE"),
		},
		&cli.DurationFlag{Name: "timeout", Value: defaultTimeout, Usage: "longest `TIME` that the command takes"},
	}
}

// Connect returns a client of the entry host that the flags specify. It sends nothing. Its errors have the
// exit code ExitRefused.
func Connect(cmd *cli.Command) (*operator.Client, error) {
	address := cmd.String("address")
	if !yamlfile.IsAddress(address) {
		return nil, usageError("--address %q is not an IP number and a port; give for example --address 127.0.0.1:18012, or set DOTTERELFLOW_OPERATOR_ADDRESS", address)
	}

	file := cmd.String("key-file")
	if file == "" {
		return nil, usageError("give the operator key with --key-file FILE, or set DOTTERELFLOW_OPERATOR_KEY_FILE")
	}

	key, err := os.ReadFile(file)
	if err != nil {
		return nil, usageError("--key-file: %v", err)
	}

	return operator.NewClient(address, strings.TrimSpace(string(key)), operator.ClientOptions{Timeout: cmd.Duration("timeout")}), nil
}

package document

import (
	"os"

	"github.com/goccy/go-yaml"

	"github.com/dotterelflow/dotterelflow/internal/site/yamlfile"
)

// Load reads the files at paths into one Document and checks that it renders to a configuration.
// It fails with a *yamlfile.InvalidError for an invalid document, and with another error if a file can't be
// read or two files define a deployment.
func Load(paths ...string) (Document, error) {
	var d Document

	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return Document{}, Error.Wrap(err)
		}

		part, err := Parse(path, data)
		if err != nil {
			return Document{}, err
		}

		if err := d.Add(part); err != nil {
			return Document{}, err
		}
	}

	_, err := d.Config()

	return d, err
}

// Parse decodes data, the content of the file with the given name. It fails with a *yamlfile.InvalidError that
// states the name. References to items of other files are checked by Document.Config.
func Parse(name string, data []byte) (Document, error) {
	var d Document

	if err := yamlfile.Decode(name, data, &d); err != nil {
		return Document{}, err
	}

	for i := range d.Templates {
		d.Templates[i].file = name
	}

	for i := range d.Accounts {
		d.Accounts[i].file = name
	}

	for i := range d.Targets {
		d.Targets[i].file = name
	}

	return d, nil
}

// Add appends the items of part. It fails if both d and part define a deployment.
func (d *Document) Add(part Document) error {
	if part.Deployment != nil {
		if d.Deployment != nil {
			return Error.New("two files define a deployment; keep only one of the definitions")
		}

		d.Deployment = part.Deployment
	}

	d.Templates = append(d.Templates, part.Templates...)
	d.Accounts = append(d.Accounts, part.Accounts...)
	d.Targets = append(d.Targets, part.Targets...)

	return nil
}

// YAML encodes d in the form that Parse reads.
func (d Document) YAML() ([]byte, error) {
	data, err := yaml.MarshalWithOptions(d, yaml.IndentSequence(true))

	return data, Error.Wrap(err)
}

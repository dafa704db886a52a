package policy

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/goccy/go-yaml"

	"godwitcart/internal/apierror"
)

// Load reads and validates a configuration from a YAML file.
func Load(path string) (*Configuration, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, apierror.Wrap(err, apierror.KindBadRequest, "cannot read the configuration file",
			"name a YAML file that can be read")
	}
	return Parse(text)
}

// Parse reads and validates a YAML configuration. Objects are named by their keys; an unknown field is an error that
// states its line.
func Parse(text []byte) (*Configuration, error) {
	var configuration Configuration
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.DisallowUnknownField())
	if err := decoder.Decode(&configuration); err != nil {
		return nil, apierror.Wrap(err, apierror.KindBadRequest, "the YAML of the configuration is malformed",
			"correct the line that is named")
	}
	return completeAndValidate(configuration)
}

// Decode reads and validates a configuration from the JSON of Encode.
func Decode(text []byte) (*Configuration, error) {
	var configuration Configuration
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&configuration); err != nil {
		return nil, apierror.Wrap(err, apierror.KindBadRequest, "the JSON of the configuration is malformed",
			"send a configuration as this release of godwitcart encodes it")
	}
	return completeAndValidate(configuration)
}

// Encode returns the canonical JSON of a configuration: equal configurations have equal JSON.
func Encode(configuration *Configuration) []byte {
	text, err := json.Marshal(configuration)
	if err != nil {
		// Unreachable: a valid Configuration has only values that JSON can represent; Validate rejects NaN and infinity.
		panic(err)
	}
	return text
}

// YAML returns the configuration in the format that Parse accepts.
func YAML(configuration *Configuration) ([]byte, error) {
	return yaml.Marshal(configuration)
}

func completeAndValidate(configuration Configuration) (*Configuration, error) {
	completed := configuration.Clone()
	setNamesFromKeys(completed)
	if err := Validate(*completed); err != nil {
		return nil, err
	}
	return completed, nil
}

func setNamesFromKeys(c *Configuration) {
	for key, service := range c.Services {
		if service.Name == "" {
			service.Name = key
			c.Services[key] = service
		}
	}
	for key, account := range c.Accounts {
		if account.Name == "" {
			account.Name = key
			c.Accounts[key] = account
		}
	}
	for key, class := range c.Classes {
		if class.Name == "" {
			class.Name = key
			c.Classes[key] = class
		}
	}
	for key, model := range c.Models {
		if model.Name == "" {
			model.Name = key
			c.Models[key] = model
		}
	}
}

package policy

import "slices"

// Clone returns a deep copy in canonical form: no map is nil, and empty lists are nil.
func (c *Configuration) Clone() *Configuration {
	copied := &Configuration{
		Version:  c.Version,
		Services: make(map[string]Service, len(c.Services)),
		Accounts: make(map[string]Account, len(c.Accounts)),
		Classes:  make(map[string]Class, len(c.Classes)),
		Models:   make(map[string]Model, len(c.Models)),
	}
	for name, service := range c.Services {
		service.Zones = cloneList(service.Zones)
		service.Runs = cloneList(service.Runs)
		service.Loads = cloneList(service.Loads)
		copied.Services[name] = service
	}
	for name, account := range c.Accounts {
		account.KeyHashes = cloneList(account.KeyHashes)
		account.Classes = cloneList(account.Classes)
		copied.Accounts[name] = account
	}
	for name, class := range c.Classes {
		copied.Classes[name] = class
	}
	for name, model := range c.Models {
		model.Versions = cloneList(model.Versions)
		model.Adapters = cloneList(model.Adapters)
		copied.Models[name] = model
	}
	return copied
}

func cloneList[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	return slices.Clone(list)
}

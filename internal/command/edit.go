package command

import (
	"maps"
	"slices"
	"strings"

	"godwitcart/internal/apierror"
	"godwitcart/internal/language"
	"godwitcart/internal/policy"
)

// The types of object, as the language names them.
const (
	typeService = "service"
	typeAccount = "account"
	typeClass   = "class"
	typeModel   = "model"
)

// create adds an object that must not exist yet.
func create(c *policy.Configuration, edit *language.Edit) error {
	if exists(c, edit.Object) {
		return apierror.Newf(apierror.KindConflict, "change it, or choose another name", "%s already exists", edit.Object)
	}
	name := edit.Object.Name
	switch edit.Object.Type {
	case typeService:
		return put(c.Services, policy.Service{Name: name}, name, edit, serviceFields)
	case typeAccount:
		return put(c.Accounts, policy.Account{Name: name, Share: 1}, name, edit, accountFields)
	case typeClass:
		return put(c.Classes, policy.Class{Name: name}, name, edit, classFields)
	default:
		return put(c.Models, policy.Model{Name: name}, name, edit, modelFields)
	}
}

// change sets fields of an object that must exist.
func change(c *policy.Configuration, edit *language.Edit) error {
	if !exists(c, edit.Object) {
		return missing(edit.Object)
	}
	if len(edit.Fields) == 0 {
		return apierror.Newf(apierror.KindBadRequest, "name at least one FIELD=VALUE", "nothing of %s is to change", edit.Object)
	}
	name := edit.Object.Name
	switch edit.Object.Type {
	case typeService:
		return put(c.Services, c.Services[name], name, edit, serviceFields)
	case typeAccount:
		return put(c.Accounts, c.Accounts[name], name, edit, accountFields)
	case typeClass:
		return put(c.Classes, c.Classes[name], name, edit, classFields)
	default:
		return put(c.Models, c.Models[name], name, edit, modelFields)
	}
}

// remove deletes an object that must exist; Validate finds what still refers to it.
func remove(c *policy.Configuration, object language.Object) error {
	if !exists(c, object) {
		return missing(object)
	}
	switch object.Type {
	case typeService:
		delete(c.Services, object.Name)
	case typeAccount:
		delete(c.Accounts, object.Name)
	case typeClass:
		delete(c.Classes, object.Name)
	default:
		delete(c.Models, object.Name)
	}
	return nil
}

func exists(c *policy.Configuration, object language.Object) bool {
	var found bool
	switch object.Type {
	case typeService:
		_, found = c.Services[object.Name]
	case typeAccount:
		_, found = c.Accounts[object.Name]
	case typeClass:
		_, found = c.Classes[object.Name]
	default:
		_, found = c.Models[object.Name]
	}
	return found
}

func missing(object language.Object) error {
	return apierror.Newf(apierror.KindNotFound, "create it, or check the name", "%s does not exist", object)
}

// put applies the edit's assignments to an object and stores it.
func put[V any](objects map[string]V, object V, name string, edit *language.Edit, fields map[string]setter[V]) error {
	for _, assignment := range edit.Fields {
		set, known := fields[assignment.Field]
		if !known {
			names := strings.Join(slices.Sorted(maps.Keys(fields)), ", ")
			return apierror.Newf(apierror.KindBadRequest, "use one of "+names, "a %s has no field %q", edit.Object.Type, assignment.Field)
		}
		if err := set(&object, assignment); err != nil {
			return err
		}
	}
	objects[name] = object
	return nil
}

// Fields lists the fields of a type of object, sorted, or nothing for an unknown type.
func Fields(objectType string) []string {
	switch objectType {
	case typeService:
		return slices.Sorted(maps.Keys(serviceFields))
	case typeAccount:
		return slices.Sorted(maps.Keys(accountFields))
	case typeClass:
		return slices.Sorted(maps.Keys(classFields))
	case typeModel:
		return slices.Sorted(maps.Keys(modelFields))
	default:
		return nil
	}
}

package command

import (
	"maps"
	"slices"
	"strings"

	"godwitcart/internal/apierror"
	"godwitcart/internal/language"
	"godwitcart/internal/policy"
)

// The object types, as written in the operators' language.
const (
	typeService = "service"
	typeAccount = "account"
	typeClass   = "class"
	typeModel   = "model"
)

// createObject adds an object; it is an error if the object exists.
func createObject(c *policy.Configuration, edit *language.Edit) error {
	if objectExists(c, edit.Object) {
		return apierror.Newf(apierror.KindConflict, "change it, or choose another name", "%s already exists", edit.Object)
	}
	name := edit.Object.Name
	switch edit.Object.Type {
	case typeService:
		return applyEdit(c.Services, policy.Service{Name: name}, name, edit, serviceFields)
	case typeAccount:
		return applyEdit(c.Accounts, policy.Account{Name: name, Share: 1}, name, edit, accountFields)
	case typeClass:
		return applyEdit(c.Classes, policy.Class{Name: name}, name, edit, classFields)
	default:
		return applyEdit(c.Models, policy.Model{Name: name}, name, edit, modelFields)
	}
}

// changeObject sets fields of an object; it is an error if the object does not exist.
func changeObject(c *policy.Configuration, edit *language.Edit) error {
	if !objectExists(c, edit.Object) {
		return notFoundError(edit.Object)
	}
	if len(edit.Fields) == 0 {
		return apierror.Newf(apierror.KindBadRequest, "name at least one FIELD=VALUE", "nothing of %s is to change", edit.Object)
	}
	name := edit.Object.Name
	switch edit.Object.Type {
	case typeService:
		return applyEdit(c.Services, c.Services[name], name, edit, serviceFields)
	case typeAccount:
		return applyEdit(c.Accounts, c.Accounts[name], name, edit, accountFields)
	case typeClass:
		return applyEdit(c.Classes, c.Classes[name], name, edit, classFields)
	default:
		return applyEdit(c.Models, c.Models[name], name, edit, modelFields)
	}
}

// deleteObject deletes an object; it is an error if the object does not exist. References to the object that
// remain are reported by policy.Validate.
func deleteObject(c *policy.Configuration, object language.Object) error {
	if !objectExists(c, object) {
		return notFoundError(object)
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

func objectExists(c *policy.Configuration, object language.Object) bool {
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

func notFoundError(object language.Object) error {
	return apierror.Newf(apierror.KindNotFound, "create it, or check the name", "%s does not exist", object)
}

// applyEdit applies the assignments of the edit to object and stores it in objects under name.
func applyEdit[V any](objects map[string]V, object V, name string, edit *language.Edit, fields map[string]setter[V]) error {
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

// Fields returns the sorted field names of an object type, or nil for an unknown type.
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

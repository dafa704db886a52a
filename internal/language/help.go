package language

// Usage describes the syntax of one kind of statement.
type Usage struct {
	Syntax      string
	Description string
}

// QueryUsages returns the usage of every kind of Query.
func QueryUsages() []Usage {
	return []Usage{
		{"show TABLE [where COLUMN = VALUE [and …]] [order by COLUMN [desc], …] [limit N]", "list rows of a table"},
		{"count TABLE [where …] [by COLUMN, …]", "count rows, for each value of the columns"},
		{"explain REQUEST", "show one request's life: every step and the reason of each decision"},
	}
}

// CommandUsages returns the usage of every kind of Command.
func CommandUsages() []Usage {
	return []Usage{
		{"create service|account|class|model NAME FIELD=VALUE …", "create an object of the configuration"},
		{"change service|account|class|model NAME FIELD=VALUE …", "change fields; += and -= add to a list and remove from it"},
		{"delete service|account|class|model NAME", "delete an object of the configuration"},
		{"roll back to VERSION", "make an earlier version's content the newest version"},
		{"drain target NAME", "send no new work to a target"},
		{"undrain target NAME", "send work to a drained target again"},
		{"load MODEL on TARGET", "load a model, adapter or version (MODEL[:ADAPTER][@VERSION])"},
		{"unload MODEL on TARGET", "unload a model, adapter or version once its requests have ended"},
		{"cancel REQUEST", "cancel a request"},
	}
}

// Keywords returns the words with which a statement can begin, for completion and error messages.
func Keywords() []string {
	return []string{"show", "count", "explain", "create", "change", "delete", "roll back to", "drain target",
		"undrain target", "load", "unload", "cancel"}
}

package policy_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwitcart/internal/apierror"
	"godwitcart/internal/policy"
)

const testKey = "key-moose-jaw"

func loadTestConfiguration(t *testing.T) *policy.Configuration {
	t.Helper()
	configuration, err := policy.Load("testdata/configuration.yaml")
	require.NoError(t, err)
	return configuration
}

func TestConfigurationRoundTripsThroughJSONAndYAML(t *testing.T) {
	configuration := loadTestConfiguration(t)
	require.Equal(t, 30*time.Second, configuration.Classes["counter"].Deadline)
	decoded, err := policy.Decode(policy.Encode(configuration))
	require.NoError(t, err)
	require.Equal(t, configuration, decoded)
	text, err := policy.YAML(configuration)
	require.NoError(t, err)
	parsed, err := policy.Parse(text)
	require.NoError(t, err)
	require.Equal(t, configuration, parsed)
}

func TestParseRejectsUnknownFieldWithLineNumber(t *testing.T) {
	_, err := policy.Parse([]byte("classes:\n  a: {priority: 1, colour: red}\n"))
	require.True(t, apierror.Is(err, apierror.KindBadRequest))
	require.Contains(t, err.Error(), "[2:")
	require.Contains(t, err.Error(), "colour")
}

func TestValidateReportsProblems(t *testing.T) {
	cases := map[string]struct {
		change func(*policy.Configuration)
		object string
		cause  string
	}{
		"unknown model":      {func(c *policy.Configuration) { delete(c.Models, "prairie-8b") }, `service "godwit-lm"`, "does not exist"},
		"unknown class":      {func(c *policy.Configuration) { delete(c.Classes, "batch") }, `account "moose-jaw"`, `"batch", which does not exist`},
		"equal priorities":   {func(c *policy.Configuration) { c.Classes["x"] = policy.Class{Name: "x", Priority: 1} }, `class "x"`, `of class "batch"`},
		"other name":         {func(c *policy.Configuration) { c.Classes["x"] = policy.Class{Name: "y", Priority: 2} }, `class "x"`, "states another name"},
		"negative deadline":  {func(c *policy.Configuration) { c.Classes["x"] = policy.Class{Name: "x", Deadline: -1} }, `class "x"`, "deadline"},
		"malformed name":     {func(c *policy.Configuration) { c.Models["a b"] = policy.Model{Name: "a b", Versions: []string{"v"}} }, `model "a b"`, "malformed name"},
		"no version":         {func(c *policy.Configuration) { c.Models["m"] = policy.Model{Name: "m"} }, `model "m"`, "no version"},
		"unknown kind":       {func(c *policy.Configuration) { c.Services["s"] = policy.Service{Name: "s"} }, `service "s"`, "kind"},
		"zero share":         {changeAccount(func(a *policy.Account) { a.Share = 0 }), `account "moose-jaw"`, "share 0"},
		"negative rate":      {changeAccount(func(a *policy.Account) { a.RequestsPerSecond = -1 }), `account "moose-jaw"`, "requests_per_second"},
		"negative limit":     {changeAccount(func(a *policy.Account) { a.Concurrency = -1 }), `account "moose-jaw"`, "concurrency"},
		"malformed key hash": {changeAccount(func(a *policy.Account) { a.KeyHashes = []string{"secret"} }), `account "moose-jaw"`, "entry 1 in key_hashes"},
		"plain runs models": {func(c *policy.Configuration) {
			c.Services["p"] = policy.Service{Name: "p", Kind: policy.KindPlain, Runs: []policy.Variant{{Model: "prairie-8b"}}}
		}, `service "p"`, "is plain"},
		"shared key": {func(c *policy.Configuration) {
			other := c.Accounts["moose-jaw"]
			other.Name = "regina"
			c.Accounts["regina"] = other
		}, `account "regina"`, `shares an API key with account "moose-jaw"`},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			configuration := loadTestConfiguration(t).Clone()
			test.change(configuration)
			err := policy.Validate(*configuration)
			require.True(t, apierror.Is(err, apierror.KindBadRequest))
			var invalid *policy.ValidationError
			require.True(t, errors.As(err, &invalid))
			require.Equal(t, test.object, invalid.Problems[0].Object)
			require.Contains(t, err.Error(), test.cause)
			for _, problem := range invalid.Problems {
				require.NotEmpty(t, problem.Remedy)
			}
		})
	}
}

func changeAccount(change func(*policy.Account)) func(*policy.Configuration) {
	return func(c *policy.Configuration) {
		account := c.Accounts["moose-jaw"]
		change(&account)
		c.Accounts["moose-jaw"] = account
	}
}

func TestResolve(t *testing.T) {
	index := policy.NewIndex(loadTestConfiguration(t))
	cases := map[string][]string{
		"prairie-8b":            {"prairie-8b@v2", "prairie-8b@v1"},
		"prairie-8b@v1":         {"prairie-8b@v1"},
		"prairie-8b:pricing":    {"prairie-8b:pricing@v2"},
		"prairie-8b:pricing@v1": nil,
		"prairie-8b@v3":         nil,
		"nobody":                nil,
		"":                      nil,
		"a:b:c@@":               nil,
	}
	for model, want := range cases {
		resolution, err := index.Resolve(model, "")
		if want == nil {
			require.True(t, apierror.Is(err, apierror.KindUnknownModel), model)
			continue
		}
		require.NoError(t, err, model)
		require.Equal(t, "godwit-lm", resolution.Service.Name)
		var got []string
		for _, variant := range resolution.Variants {
			got = append(got, variant.String())
		}
		require.Equal(t, want, got, model)
	}
	_, err := index.Resolve("prairie-8b", "counter-api")
	require.True(t, apierror.Is(err, apierror.KindUnknownModel))
}

func TestDecideChecksKeyAndClass(t *testing.T) {
	index := policy.NewIndex(loadTestConfiguration(t))
	decision, err := index.Decide(policy.Query{Key: testKey, Service: "counter-api"})
	require.NoError(t, err)
	require.Equal(t, "counter", decision.Class.Name)
	_, err = index.Decide(policy.Query{Key: "wrong", Service: "counter-api"})
	require.True(t, apierror.Is(err, apierror.KindUnauthenticated))
	_, err = index.Decide(policy.Query{Key: testKey, Service: "counter-api", Class: "none"})
	require.True(t, apierror.Is(err, apierror.KindBadRequest))
	_, err = index.Decide(policy.Query{Key: testKey, Service: "none"})
	require.True(t, apierror.Is(err, apierror.KindNotFound))
}

func TestSameDecisionIgnoresUnrelatedChanges(t *testing.T) {
	before := loadTestConfiguration(t)
	after := before.Clone()
	after.Classes["batch"] = policy.Class{Name: "batch", Priority: 2}
	a, b := policy.NewIndex(before), policy.NewIndex(after)
	require.True(t, policy.SameDecision(a, b, policy.Query{Key: testKey, Model: "prairie-8b", Class: "counter"}))
	require.False(t, policy.SameDecision(a, b, policy.Query{Key: testKey, Model: "prairie-8b", Class: "batch"}))
	require.True(t, policy.SameDecision(a, b, policy.Query{Key: "unknown", Model: "prairie-8b"}))
}

func TestVariantRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringMatching(`[a-z:@.]{0,12}`).Draw(t, "text")
		variant, err := policy.ParseVariant(text)
		if err != nil {
			return
		}
		require.Equal(t, text, variant.String())
	})
}

func TestDiffListsChangedFields(t *testing.T) {
	before := loadTestConfiguration(t)
	after := before.Clone()
	changeAccount(func(a *policy.Account) { a.Share = 4 })(after)
	delete(after.Classes, "batch")
	after.Classes["zero"] = policy.Class{Name: "zero"}
	after.Models["new"] = policy.Model{Name: "new", Versions: []string{"v1"}}
	changes := policy.Diff(before, after)
	var lines []string
	for _, change := range changes {
		lines = append(lines, change.String())
	}
	require.Equal(t, []string{
		`~ account moose-jaw share=3 -> 4`,
		`- class batch priority=1`,
		`+ class zero priority=0`,
		`+ model new versions=v1`,
	}, lines)
	require.Empty(t, policy.Diff(before, before.Clone()))
}

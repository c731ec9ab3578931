package config

import (
	"crypto/sha256"
	"encoding/hex"
	"math"
	"net/http"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/result"
)

// maxKeyHashes is the maximum number of keys of one account. It allows an account to
// replace its keys one at a time.
const maxKeyHashes = 16

var (
	namePattern       = regexp.MustCompile(`^[a-z0-9._-]{1,63}$`)
	idempotentMethods = []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
	}
)

// Validate validates an object on its own, without the objects it references. The error has the
// code InvalidObject and the field. The replicated state stores the error texts of
// this package, so they must not change; see CheckPut.
func Validate(v Value) error {
	switch v := v.(type) {
	case *pb.ClientAccount:
		return validateAccount(v)
	case *pb.ModelVersion:
		return validateVersion(v)
	case *pb.Model:
		return validateModel(v)
	case *pb.Adapter:
		return validateAdapter(v)
	case *pb.Endpoint:
		return validateEndpoint(v)
	}
	return errNoObject()
}

func invalid(field, format string, args ...any) error {
	return result.New(result.InvalidObject, result.WithField(field), result.WithMessage(format, args...))
}

// firstError returns the first error that is not nil, or nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkName(field, name string) error {
	if namePattern.MatchString(name) {
		return nil
	}
	return invalid(field, "name %q: want 1 to 63 of a-z, 0-9, '.', '_' and '-'", name)
}

func checkNames(field string, names []string) error {
	for i, name := range names {
		path := elementField(field, i)
		if err := checkName(path, name); err != nil {
			return err
		}
		if slices.Index(names, name) != i {
			return invalid(path, "%q stands twice", name)
		}
	}
	return nil
}

func elementField(field string, i int) string { return field + "[" + strconv.Itoa(i) + "]" }

func checkNonNegative(field string, x float64) error {
	if x >= 0 && !math.IsInf(x, 1) {
		return nil
	}
	return invalid(field, "%v: want a finite number of at least 0", x)
}

func checkShare(field string, x float64) error {
	if x >= 0 && x <= 1 {
		return nil
	}
	return invalid(field, "%v: want a share from 0 to 1", x)
}

func validateAccount(a *pb.ClientAccount) error {
	return firstError(
		checkName("account.name", a.GetName()),
		checkKeyHashes(a.GetKeyHashes()),
		checkNonNegative("account.limits.requests_per_second", a.GetLimits().GetRequestsPerSecond()),
		checkNonNegative("account.limits.tokens_per_second", a.GetLimits().GetTokensPerSecond()),
		checkNonNegative("account.limits.concurrent_runs", float64(a.GetLimits().GetConcurrentRuns())),
		checkNonNegative("account.weight", a.GetWeight()),
	)
}

func checkKeyHashes(hashes []string) error {
	const field = "account.key_hashes"
	if len(hashes) > maxKeyHashes {
		return invalid(field, "%d keys: at most %d", len(hashes), maxKeyHashes)
	}
	for i, hash := range hashes {
		raw, err := hex.DecodeString(hash)
		if err != nil || len(raw) != sha256.Size || hash != strings.ToLower(hash) {
			return invalid(elementField(field, i), "want the SHA-256 of the key as 64 lower-case hex digits")
		}
		if slices.Index(hashes, hash) != i {
			return invalid(elementField(field, i), "hash stands twice")
		}
	}
	return nil
}

func validateVersion(v *pb.ModelVersion) error {
	if err := firstError(checkName("version.model", v.GetModel()), checkName("version.version", v.GetVersion())); err != nil {
		return err
	}
	if want := VersionName(v.GetModel(), v.GetVersion()); v.GetName() != want {
		return invalid("version.name", "name %q: want %q, from model and version", v.GetName(), want)
	}
	return nil
}

// VersionName returns the name of the ModelVersion of a model.
func VersionName(model, version string) string { return model + "@" + version }

func validateModel(m *pb.Model) error {
	if m.GetVersion() != "" {
		if err := checkName("model.version", m.GetVersion()); err != nil {
			return err
		}
	}
	return firstError(
		checkName("model.name", m.GetName()),
		checkNonNegative("model.max_context_tokens", float64(m.GetMaxContextTokens())),
		checkNonNegative("model.objective.first_token_seconds", m.GetObjective().GetFirstTokenSeconds()),
		checkNonNegative("model.objective.recomputed_token", m.GetObjective().GetRecomputedToken()),
		checkNonNegative("model.objective.link_mebibyte", m.GetObjective().GetLinkMebibyte()),
		checkShare("model.rollout_min_available", m.GetRolloutMinAvailable()),
	)
}

func validateAdapter(a *pb.Adapter) error {
	return firstError(
		checkName("adapter.name", a.GetName()),
		checkName("adapter.model", a.GetModel()),
		checkNames("adapter.accounts", a.GetAccounts()),
	)
}

func validateEndpoint(e *pb.Endpoint) error {
	if e.GetRegion() != "" {
		if err := checkName("endpoint.region", e.GetRegion()); err != nil {
			return err
		}
	}
	return firstError(
		checkName("endpoint.name", e.GetName()),
		checkEndpointKind(e),
		checkURL("endpoint.url", e.GetUrl()),
		checkName("endpoint.failure_domain", e.GetFailureDomain()),
		checkNames("endpoint.models", e.GetModels()),
		checkIdempotent(e.GetIdempotent()),
		checkNonNegative("endpoint.link_bytes_per_second", float64(e.GetLinkBytesPerSecond())),
	)
}

// checkEndpointKind rejects an unknown kind and fields that don't apply to the kind.
func checkEndpointKind(e *pb.Endpoint) error {
	kind := e.GetKind()
	switch kind {
	case pb.EndpointKind_ENDPOINT_KIND_ENGINE, pb.EndpointKind_ENDPOINT_KIND_SERVICE, pb.EndpointKind_ENDPOINT_KIND_STORE:
	default:
		return invalid("endpoint.kind", "kind %v: want engine, service or store", kind)
	}
	if len(e.GetModels()) > 0 && kind != pb.EndpointKind_ENDPOINT_KIND_ENGINE {
		return invalid("endpoint.models", "only an engine serves models")
	}
	if kind == pb.EndpointKind_ENDPOINT_KIND_SERVICE {
		return checkName("endpoint.service", e.GetService())
	}
	if e.GetService() != "" {
		return invalid("endpoint.service", "only a service has a service name")
	}
	if len(e.GetIdempotent()) > 0 {
		return invalid("endpoint.idempotent", "only a service has idempotent calls")
	}
	return nil
}

// checkURL accepts http://IP:port and https://IP:port. Host names are rejected, since
// nodes don't resolve names.
func checkURL(field, text string) error {
	const want = "want http://IP:PORT or https://IP:PORT"
	u, err := url.Parse(text)
	if err != nil {
		return invalid(field, "%q: "+want, text)
	}
	if u.Scheme != "http" && u.Scheme != "https" {
		return invalid(field, "scheme %q: "+want, u.Scheme)
	}
	if text != u.Scheme+"://"+u.Host {
		return invalid(field, "%q: "+want+" and nothing after it", text)
	}
	addr, err := netip.ParseAddrPort(u.Host)
	if err != nil || addr.Port() == 0 {
		return invalid(field, "host %q: "+want, u.Host)
	}
	return nil
}

func checkIdempotent(calls []string) error {
	for i, call := range calls {
		method, path, _ := strings.Cut(call, " ")
		if !slices.Contains(idempotentMethods, method) || !strings.HasPrefix(path, "/") || strings.ContainsAny(path, " ?#") {
			return invalid(elementField("endpoint.idempotent", i), `%q: want "METHOD /path"`, call)
		}
	}
	return nil
}

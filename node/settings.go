package node

import (
	"net/netip"
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/keyring"
	"github.com/jasminevane/jasminevane/quota"
	"github.com/jasminevane/jasminevane/setting"
)

// Settings holds the settings of one node, as written in TOML.
type Settings struct {
	Name       string            `toml:"name"`
	Region     string            `toml:"region"`
	DataCentre string            `toml:"data_centre"`
	Service    string            `toml:"service"` // service of the upstreams beside the node
	Listen     listenSettings    `toml:"listen"`
	Peers      peerSettings      `toml:"peers"`
	Platform   platformSettings  `toml:"platform"`
	Trust      trustSettings     `toml:"trust"`
	Retry      retrySettings     `toml:"retry"`
	Admin      adminSettings     `toml:"admin"`
	Limits     limitSettings     `toml:"limits"`
	Admission  admissionSettings `toml:"admission"`
	Log        logSettings       `toml:"log"`
	Keys       keySettings       `toml:"keys"`
	Quota      quotaSettings     `toml:"quota"`
}

type listenSettings struct {
	Caller                 string `toml:"caller"`
	Peer                   string `toml:"peer"`
	Upstream               string `toml:"upstream"`
	Admin                  string `toml:"admin"`
	AllowedUpstreamAddress string `toml:"beside"` // the only address that upstreams may announce; empty to allow any
	Ready                  string `toml:"ready"`  // address of the readiness check; empty for no readiness check
}

type peerSettings struct {
	Seeds []string `toml:"seeds"`
}

type platformSettings struct {
	Log string `toml:"log"`
	// Contract is "own" for the default protocols, or "store" if callers, upstreams and operators use the protocols of the platform.
	Contract string           `toml:"contract"`
	Timeout  setting.Duration `toml:"timeout"` // timeout of a call to the log service

	Apply setting.Duration `toml:"apply"` // time within which a version that the operator has published must be in force

	Snapshot setting.Duration `toml:"snapshot"`
}

type trustSettings struct {
	Keys []string `toml:"keys"`
}

// keySettings says what becomes of requests with keys at a node that is out of touch with the store and with all nodes that read it.
type keySettings struct {
	Closed bool             `toml:"closed"` // refuse them after Revoke, instead of serving the keys that the node knows
	Revoke setting.Duration `toml:"revoke"`
}

// retrySettings is the retry and ejection policy of a node with the platform's protocols, since the operator's configuration
// contains none. With the default protocols, the bundle contains the policy.
type retrySettings struct {
	Ratio   float64 `toml:"ratio"`   // retries allowed per request
	Reserve float64 `toml:"reserve"` // retries per service and window of the budget that the fleet may send in addition to Ratio
	Floor   float64 `toml:"floor"`   // minimum share of upstreams that ejection leaves in service
}

// quotaSettings bounds how far the requests of a caller in any window may exceed its limit.
type quotaSettings struct {
	Window  setting.Duration `toml:"window"`
	Overage float64          `toml:"overage"` // as a share of what the limit allows in a window
	Slack   float64          `toml:"slack"`   // requests in addition
}

func (s quotaSettings) rule() quota.Rule {
	return quota.Rule{Window: s.Window.Std(), Overage: s.Overage, Slack: s.Slack}
}

// check returns the problems with the values.
func (s quotaSettings) check() []setting.Problem {
	var problems []setting.Problem
	if s.Window.Std() < time.Second {
		problems = append(problems, setting.NewProblem("quota.window", "is %v, want at least 1s", s.Window.Std()))
	}
	if !(s.Overage >= 0 && s.Overage <= 1) {
		problems = append(problems, setting.NewProblem("quota.overage", "is %g, want 0 to 1", s.Overage))
	}
	if !(s.Slack >= 0) {
		problems = append(problems, setting.NewProblem("quota.slack", "is %g, want at least 0", s.Slack))
	}
	return problems
}

type adminSettings struct {
	Token string `toml:"token"`
	Pprof bool   `toml:"pprof"`
}

type limitSettings struct {
	Header        setting.Size     `toml:"header"`
	Body          setting.Size     `toml:"body"`
	Keys          int              `toml:"keys"`
	ResponseBytes setting.Size     `toml:"answers"`
	Events        int              `toml:"events"`
	Drain         setting.Duration `toml:"drain"`
	Grace         setting.Duration `toml:"grace"` // time from the signal to stop until the process is killed; 0 if it isn't
	LameDuck      setting.Duration `toml:"lame"`  // how long a draining node still accepts requests
	HeaderTimeout setting.Duration `toml:"header_timeout"`
	Pipeline      int              `toml:"pipeline"` // requests of one connection that run in parallel; 0 or 1 for one after another
}

type admissionSettings struct {
	Policy string `toml:"policy"` // "cost" or "share"; empty to let the bundle decide
}

type logSettings struct {
	Format string `toml:"format"`
	Level  string `toml:"level"`
}

// Default values of the settings.
const (
	defaultLogServiceTimeout = time.Second
	defaultApplyTime         = 2 * time.Second
	defaultRevokeTime        = 5 * time.Second
	defaultSnapshotInterval  = 10 * time.Minute
	defaultMaxHeaderBytes    = 32 << 10
	defaultMaxBodyBytes      = 16 << 20
	defaultMaxKeys           = 100_000  // idempotency keys stored at one time
	defaultMaxResponseBytes  = 16 << 20 // total of all responses stored for replay
	defaultMaxEvents         = 4096     // events kept for the timeline
	defaultDrainTimeout      = 20 * time.Second
	defaultLameDuckDuration  = time.Second
	defaultHeaderTimeout     = 5 * time.Second
	defaultRetryRatio        = 0.1 // retries allowed per request
	defaultMinInServiceShare = 0.7 // minimum share of upstreams that ejection leaves in service
)

// maxPipeline is the largest value of limits.pipeline.
const maxPipeline = 64

// DefaultSettings returns settings that are complete except for names, addresses and keys.
func DefaultSettings() Settings {
	return Settings{
		Platform: platformSettings{
			Timeout:  setting.Duration(defaultLogServiceTimeout),
			Apply:    setting.Duration(defaultApplyTime),
			Snapshot: setting.Duration(defaultSnapshotInterval),
			Contract: defaultProtocols,
		},
		Keys:  keySettings{Revoke: setting.Duration(defaultRevokeTime)},
		Retry: retrySettings{Ratio: defaultRetryRatio, Floor: defaultMinInServiceShare},
		Quota: quotaSettings{Window: setting.Duration(quota.DefaultWindow), Overage: quota.DefaultOverage},
		Limits: limitSettings{
			Header:        defaultMaxHeaderBytes,
			Body:          defaultMaxBodyBytes,
			Keys:          defaultMaxKeys,
			ResponseBytes: defaultMaxResponseBytes,
			Events:        defaultMaxEvents,
			Drain:         setting.Duration(defaultDrainTimeout),
			LameDuck:      setting.Duration(defaultLameDuckDuration),
			HeaderTimeout: setting.Duration(defaultHeaderTimeout),
		},
		Log: logSettings{Format: "logfmt", Level: "info"},
	}
}

// drainShareOfGrace is the share of the grace time that a draining node uses; the rest is for closing connections and ending the process.
const drainShareOfGrace = 13.0 / 15

// DrainTimeout returns the maximum time for the requests of a stopping node to end.
func (s *Settings) DrainTimeout() time.Duration {
	if s.Limits.Grace <= 0 {
		return s.Limits.Drain.Std()
	}
	return min(s.Limits.Drain.Std(), time.Duration(drainShareOfGrace*float64(s.Limits.Grace)))
}

// LoadSettings reads and checks the settings in file; the error is a *setting.Error if the content is invalid.
func LoadSettings(file string) (Settings, error) {
	s := DefaultSettings()
	err := setting.Load(file, &s)
	return s, err
}

// Check implements setting.Checker.
func (s *Settings) Check() []setting.Problem {
	var problems []setting.Problem
	requiredSettings := []struct{ key, value string }{
		{"name", s.Name}, {"region", s.Region}, {"data_centre", s.DataCentre}, {"platform.log", s.Platform.Log},
	}
	for _, r := range requiredSettings {
		if r.value == "" {
			problems = append(problems, setting.NewProblem(r.key, "is not set"))
		}
	}
	problems = append(problems, s.checkAddresses()...)
	for _, k := range s.Trust.Keys {
		if _, err := keyring.ParsePublic(k); err != nil {
			problems = append(problems, setting.NewProblem("trust.keys", "%v", err))
		}
	}
	if s.Platform.Contract != defaultProtocols && s.Platform.Contract != platformProtocols {
		problems = append(problems, setting.NewProblem("platform.contract", "is %q, want %q or %q",
			s.Platform.Contract, defaultProtocols, platformProtocols))
	}
	if s.Retry.Ratio < 0 || s.Retry.Ratio > 1 {
		problems = append(problems, setting.NewProblem("retry.ratio", "is %g, want 0 to 1", s.Retry.Ratio))
	}
	if s.Retry.Reserve < 0 {
		problems = append(problems, setting.NewProblem("retry.reserve", "is %g, want at least 0", s.Retry.Reserve))
	}
	if s.Retry.Floor < 0 || s.Retry.Floor > 1 {
		problems = append(problems, setting.NewProblem("retry.floor", "is %g, want 0 to 1", s.Retry.Floor))
	}
	if len(s.Trust.Keys) == 0 && s.Platform.Contract == defaultProtocols {
		problems = append(problems, setting.NewProblem("trust.keys", "is empty, so that no bundle could be signed off"))
	}
	if s.Platform.Apply <= 0 {
		problems = append(problems, setting.NewProblem("platform.apply", "is %v, want more than 0", s.Platform.Apply.Std()))
	}
	if s.Platform.Snapshot <= 0 {
		problems = append(problems, setting.NewProblem("platform.snapshot", "is %v, want more than 0", s.Platform.Snapshot.Std()))
	}
	if s.Keys.Revoke <= 0 {
		problems = append(problems, setting.NewProblem("keys.revoke", "is %v, want more than 0", s.Keys.Revoke.Std()))
	}
	if s.Keys.Closed && s.Platform.Contract == defaultProtocols {
		problems = append(problems, setting.NewProblem("keys.closed", "needs platform.contract = %q: other nodes confirm nothing by the own protocols", platformProtocols))
	}
	if s.Limits.Keys < 1 && s.Platform.Contract == defaultProtocols {
		problems = append(problems, setting.NewProblem("limits.keys", "is %d, want at least 1", s.Limits.Keys))
	}
	switch admission.Policy(s.Admission.Policy) {
	case "", admission.ByShare, admission.ByCost:
	default:
		problems = append(problems, setting.NewProblem("admission.policy", "is %q, want %q or %q", s.Admission.Policy, admission.ByShare, admission.ByCost))
	}
	if s.Limits.Pipeline < 0 || s.Limits.Pipeline > maxPipeline {
		problems = append(problems, setting.NewProblem("limits.pipeline", "is %d, want 0 to %d", s.Limits.Pipeline, maxPipeline))
	}
	if s.Limits.Events < 0 {
		problems = append(problems, setting.NewProblem("limits.events", "is %d, want at least 0", s.Limits.Events))
	}
	problems = append(problems, s.Quota.check()...)
	return append(problems, s.checkLog()...)
}

func (s *Settings) checkAddresses() []setting.Problem {
	var problems []setting.Problem
	keyByAddress := make(map[string]string)
	addresses := []struct{ key, value string }{
		{"listen.caller", s.Listen.Caller}, {"listen.peer", s.Listen.Peer},
		{"listen.upstream", s.Listen.Upstream}, {"listen.admin", s.Listen.Admin},
	}
	if s.Listen.Ready != "" {
		addresses = append(addresses, struct{ key, value string }{"listen.ready", s.Listen.Ready})
	}
	for _, a := range addresses {
		addr, err := netip.ParseAddrPort(a.value)
		switch {
		case err != nil:
			problems = append(problems, setting.NewProblem(a.key, "%q is not an IP address with a port", a.value))
		case addr.Port() != 0 && keyByAddress[a.value] != "":
			problems = append(problems, setting.NewProblem(a.key, "is the same as %s", keyByAddress[a.value]))
		}
		keyByAddress[a.value] = a.key
	}
	for _, a := range s.Peers.Seeds {
		if _, err := netip.ParseAddrPort(a); err != nil {
			problems = append(problems, setting.NewProblem("peers.seeds", "%q is not an IP address with a port", a))
		}
	}
	return problems
}

func (s *Settings) checkLog() []setting.Problem {
	var problems []setting.Problem
	if s.Log.Format != "logfmt" && s.Log.Format != "json" {
		problems = append(problems, setting.NewProblem("log.format", `is %q, want "logfmt" or "json"`, s.Log.Format))
	}
	switch s.Log.Level {
	case "debug", "info", "warn", "error":
	default:
		problems = append(problems, setting.NewProblem("log.level", `is %q, want "debug", "info", "warn" or "error"`, s.Log.Level))
	}
	return problems
}

// trustedKeys returns the public keys of trust.keys, which Check has validated.
func (s *Settings) trustedKeys() *keyring.Ring {
	var keys []keyring.Public
	for _, text := range s.Trust.Keys {
		if k, err := keyring.ParsePublic(text); err == nil {
			keys = append(keys, k)
		}
	}
	return keyring.NewRing(keys...)
}

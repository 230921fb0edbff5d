package bundle

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestIndex checks the look-ups by name, ID and key, and that withdrawn keys are found and marked as withdrawn.
func TestIndex(t *testing.T) {
	is := is.New(t)
	b := mustParse(t, "testdata/good/full.jsonc")
	key, hash := NewTeamKey()
	b.Teams[1].Keys[0] = Key{ID: "p1", SHA256: hash, Withdrawn: true}
	x := NewIndex(b)
	is.Equal(x.Digest, b.Digest())
	is.Equal(x.Host("u-02").Zone, "zone-b")
	is.Equal(x.PoolOf("u-03").Name, "spare")
	is.Equal(x.Queue("status").OpenTeam, "proofs")
	is.True(x.Queue("cut").MayUse("quotes"))
	is.True(!x.Queue("cut").MayUse("proofs"))
	is.True(x.Host("u-9") == nil && x.PoolOf("u-9") == nil && x.Queue("x") == nil && x.Team("x") == nil)
	is.True(x.Zone("zone-a").OutOfService && x.Pool("spare").Spare)
	team, found := x.Key(key)
	is.Equal(team.Name, "proofs")
	is.True(found.Withdrawn)
	team, _ = x.Key(key + "x")
	is.True(team == nil)
}

// TestTeamKeys checks that new team keys differ, have the expected form and match only their own hash.
func TestTeamKeys(t *testing.T) {
	is := is.New(t)
	key, hash := NewTeamKey()
	other, otherHash := NewTeamKey()
	is.True(strings.HasPrefix(key, "cgk_") && len(key) == len("cgk_")+43)
	is.True(key != other)
	is.True(MatchKey(key, hash))
	is.True(!MatchKey(key, otherHash))
	is.True(!MatchKey(key, ""))
}

// TestDiff checks that Diff reports changed, added and removed fields and list items, and ignores the order of named
// items.
func TestDiff(t *testing.T) {
	is := is.New(t)
	a, b := mustParse(t, "testdata/good/full.jsonc"), mustParse(t, "testdata/good/full.jsonc")
	b.Hosts[0], b.Hosts[1] = b.Hosts[1], b.Hosts[0] // Diff ignores the order
	b.Version = 8
	b.Zones[1].OutOfService = true
	b.Pools[0].Hosts = []string{"u-01"}
	b.Pools[1].Hosts = []string{"u-03", "u-02"}
	b.Interventions = b.Interventions[:1]
	var lines []string
	for _, change := range Diff(a, b) {
		lines = append(lines, change.String())
	}
	is.Equal(strings.Join(lines, "\n"), strings.Join([]string{
		`+ availability_zones[zone-b].out_of_service: true`,
		`- interventions[i2]: {"author":"amara","id":"i2","kind":"hold","reason":"audit","target":"cut","until":"2026-12-05T08:00:00+08:00"}`,
		`- pools[cut].hosts[u-02]: "u-02"`,
		`+ pools[spare].hosts[u-02]: "u-02"`,
		`~ version: 7 -> 8`,
	}, "\n"))
}

// TestOperatorKeyText checks that operator keys survive formatting and parsing, and that ParsePublicKey rejects private
// and malformed keys.
func TestOperatorKeyText(t *testing.T) {
	is := is.New(t)
	private, err := ParsePrivateKey(FormatPrivateKey(testKey) + "\n")
	is.NoErr(err)
	is.True(private.Equal(testKey))
	public, err := ParsePublicKey(FormatPublicKey(testOperators["amara"]))
	is.NoErr(err)
	is.True(public.Equal(testKey.Public()))
	for _, text := range []string{"", FormatPrivateKey(testKey), "cgpub_AA", "cgpub_" + strings.Repeat("!", 43)} {
		_, err = ParsePublicKey(text)
		is.True(err != nil)
	}
}

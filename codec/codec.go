// Package codec sets up CBOR for everything that leaves a process: deterministic encoding, so that equal values have
// equal bytes, and strict decoding with bounds, since the bytes may come from a faulty or hostile sender.
package codec

import "github.com/fxamacker/cbor/v2"

// Limits bound what a decoder accepts.
type Limits struct {
	// Levels is the deepest nesting, Elements the longest array, Pairs the largest map. Zero stands for the
	// library's default.
	Levels, Elements, Pairs int
}

// Encoder returns the deterministic encoding mode.
func Encoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Decoder returns a strict decoding mode: no unknown or repeated fields, no tags, no indefinite lengths.
func Decoder(limits Limits) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   limits.Levels,
		MaxArrayElements:  limits.Elements,
		MaxMapPairs:       limits.Pairs,
	}.DecMode()
	if err != nil {
		panic(err) // the limits are constants within the library's bounds
	}
	return mode
}

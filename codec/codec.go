// Package codec configures CBOR, the encoding of messages between hosts, signed bundles and stored state. Encoding is
// deterministic, so that equal values have equal bytes. Decoding is strict and bounded, since the bytes may come from a
// faulty or malicious sender.
package codec

import "github.com/fxamacker/cbor/v2"

// Limits bound what a decoder accepts.
type Limits struct {
	// MaxNestedLevels is the maximum nesting depth, MaxArrayElements the maximum array length, and MaxMapPairs the
	// maximum number of entries in a map. Zero selects the library's default.
	MaxNestedLevels, MaxArrayElements, MaxMapPairs int
}

// EncMode returns the deterministic encoding mode.
func EncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // cannot happen: the options are constant
	}
	return mode
}

// DecMode returns a strict decoding mode that rejects unknown and duplicate fields, tags and indefinite lengths.
func DecMode(limits Limits) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   limits.MaxNestedLevels,
		MaxArrayElements:  limits.MaxArrayElements,
		MaxMapPairs:       limits.MaxMapPairs,
	}.DecMode()
	if err != nil {
		panic(err) // a programming error: the limits are constants and must be within the library's bounds
	}
	return mode
}

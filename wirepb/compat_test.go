package wirepb

import (
	_ "embed"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
)

// earlierMessages describes the messages of the landing before this tree, as recorded with
// `git show 8eab7ae:wirepb/wire.proto >wire.proto && protoc --descriptor_set_out=8eab7ae.binpb wire.proto`.
//
//go:embed testdata/8eab7ae.binpb
var earlierMessages []byte

// TestEarlierReleaseReadsMessages guards against fields that nodes of the earlier release
// read differently: a field keeps its number and type.
func TestEarlierReleaseReadsMessages(t *testing.T) {
	var set descriptorpb.FileDescriptorSet
	if err := proto.Unmarshal(earlierMessages, &set); err != nil {
		t.Fatal(err)
	}
	earlier, err := protodesc.NewFile(set.GetFile()[0], nil)
	if err != nil {
		t.Fatal(err)
	}
	for i := range earlier.Messages().Len() {
		message := earlier.Messages().Get(i)
		now := File_wire_proto.Messages().ByName(message.Name())
		if now == nil {
			t.Errorf("message %s is gone", message.Name())
			continue
		}
		for j := range message.Fields().Len() {
			field := message.Fields().Get(j)
			if got, want := describeField(now.Fields().ByNumber(field.Number())), describeField(field); got != want {
				t.Errorf("field %s = %d is %q, want %q", field.FullName(), field.Number(), got, want)
			}
		}
	}
	for i := range earlier.Enums().Len() {
		enum := earlier.Enums().Get(i)
		now := File_wire_proto.Enums().ByName(enum.Name())
		for j := range enum.Values().Len() {
			value := enum.Values().Get(j)
			if now == nil || now.Values().ByNumber(value.Number()) == nil || now.Values().ByNumber(value.Number()).Name() != value.Name() {
				t.Errorf("value %s = %d is gone", value.FullName(), value.Number())
			}
		}
	}
}

// describeField returns what decides how a field is encoded, and its name, since a number
// that gets another name is most likely used anew.
func describeField(field protoreflect.FieldDescriptor) string {
	if field == nil {
		return "missing"
	}
	text := field.Cardinality().String() + " " + field.Kind().String() + " " + string(field.Name())
	if oneof := field.ContainingOneof(); oneof != nil && !oneof.IsSynthetic() {
		text += " in " + string(oneof.Name())
	}
	switch {
	case field.IsMap():
		return text + " from " + describeField(field.MapKey()) + " to " + describeField(field.MapValue())
	case field.Message() != nil:
		return text + " of " + string(field.Message().Name())
	case field.Enum() != nil:
		return text + " of " + string(field.Enum().Name())
	}
	return text
}

package docscmd

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// structDoc is the documentation of a struct in the source.
type structDoc struct {
	text   string
	fields []fieldDoc
}

// fieldDoc is the documentation of a field in the source.
type fieldDoc struct {
	// goName is the name in the source, name the name in files.
	goName, name string
	text         string
	// validate is the rule of the validate tag.
	validate string
}

// sourceDocs reads the documentation of the structs of the package in a folder.
func sourceDocs(dir string) (map[string]structDoc, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil || len(files) == 0 {
		return nil, eris.Errorf("no source in %s: run in the root of the repository", filepath.ToSlash(dir))
	}
	docs := make(map[string]structDoc)
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		if err != nil {
			return nil, eris.Wrap(err, "parse the source")
		}
		for _, decl := range file.Decls {
			if general, ok := decl.(*ast.GenDecl); ok {
				collectStructs(docs, general)
			}
		}
	}
	return docs, nil
}

// collectStructs adds the structs of one declaration to docs.
func collectStructs(docs map[string]structDoc, decl *ast.GenDecl) {
	for _, spec := range decl.Specs {
		t, ok := spec.(*ast.TypeSpec)
		if !ok {
			continue
		}
		if s, ok := t.Type.(*ast.StructType); ok {
			docs[t.Name.Name] = structDoc{text: commentText(decl.Doc), fields: fieldsOf(s)}
		}
	}
}

// fieldsOf lists the fields of a struct. A field without a comment shares the
// comment of the field before it.
func fieldsOf(s *ast.StructType) []fieldDoc {
	var fields []fieldDoc
	text := ""
	for _, f := range s.Fields.List {
		if own := commentText(f.Doc); own != "" {
			text = own
		}
		tag := tagOf(f)
		for _, name := range f.Names {
			field := fieldDoc{goName: name.Name, text: text, validate: tag.Get("validate")}
			field.name, _, _ = strings.Cut(tag.Get("json"), ",")
			fields = append(fields, field)
		}
	}
	return fields
}

func tagOf(f *ast.Field) reflect.StructTag {
	if f.Tag == nil {
		return ""
	}
	text, err := strconv.Unquote(f.Tag.Value)
	if err != nil {
		return ""
	}
	return reflect.StructTag(text)
}

// commentText returns a comment as one line.
func commentText(group *ast.CommentGroup) string {
	return strings.Join(strings.Fields(group.Text()), " ")
}

#!/usr/bin/env python3
"""Generates C++ structures from schema/*.json (docs/design.md section 2).

Every structure gets cereal serialization (between our processes), a checked
JSON reader that lists every fault with its path, and a JSON writer.
"""
import json
import re
import sys

BASIC = {
    "string": "std::string", "integer": "std::int64_t", "natural": "std::uint64_t",
    "number": "double", "boolean": "bool",
}


def cpp(kind):
    if kind in BASIC:
        return BASIC[kind]
    match = re.fullmatch(r"(list|map|optional)<(.+)>", kind)
    if match:
        inner = cpp(match.group(2))
        return {"list": f"std::vector<{inner}>", "map": f"std::map<std::string, {inner}>",
                "optional": f"std::optional<{inner}>"}[match.group(1)]
    return kind


def literal(field):
    value = field.get("default")
    if value is None:
        return "{}"
    if isinstance(value, bool):
        return "{true}" if value else "{false}"
    if isinstance(value, str):
        return "{" + json.dumps(value) + "}"
    return "{" + str(value) + "}"


def reader(kind, target, node, path, field, depth=0):
    """C++ lines that read `node` into `target`, adding faults at `path`."""
    pad = "  "
    out = []
    if kind in BASIC:
        check = {"string": "cJSON_IsString", "boolean": "cJSON_IsBool"}.get(kind, "cJSON_IsNumber")
        name = {"string": "a string", "boolean": "true or false", "integer": "a whole number",
                "natural": "a whole number that is not negative", "number": "a number"}[kind]
        out.append(f"if ({check}({node}) == 0) {{")
        out.append(f"{pad}faults.push_back(common::Fault{{{path}, \"must be {name}\"}});")
        if kind == "string":
            out.append("} else {")
            out.append(f"{pad}{target} = {node}->valuestring;")
            if field.get("one_of"):
                options = field["one_of"]
                test = " && ".join(f"{target} != {json.dumps(o)}" for o in options)
                out.append(f"{pad}if ({test}) {{ faults.push_back(common::Fault{{{path}, \"must be one of {', '.join(options)}\"}}); }}")
            if "most" in field:
                out.append(f"{pad}if ({target}.size() > {field['most']}) {{ faults.push_back(common::Fault{{{path}, \"is longer than {field['most']} bytes\"}}); }}")
            if field.get("filled"):
                out.append(f"{pad}if ({target}.empty()) {{ faults.push_back(common::Fault{{{path}, \"must not be empty\"}}); }}")
            out.append("}")
        elif kind == "boolean":
            out.append(f"}} else {{ {target} = cJSON_IsTrue({node}) != 0; }}")
        else:
            low = field.get("minimum", 0 if kind == "natural" else None)
            if kind in ("integer", "natural"):
                out.append(f"}} else if (std::floor({node}->valuedouble) != {node}->valuedouble || std::abs({node}->valuedouble) > 9007199254740992.0) {{")
                out.append(f"{pad}faults.push_back(common::Fault{{{path}, \"must be {name}\"}});")
            if low is not None:
                out.append(f"}} else if ({node}->valuedouble < {float(low)}) {{")
                out.append(f"{pad}faults.push_back(common::Fault{{{path}, \"must be at least {low}\"}});")
            if "maximum" in field:
                out.append(f"}} else if ({node}->valuedouble > {float(field['maximum'])}) {{")
                out.append(f"{pad}faults.push_back(common::Fault{{{path}, \"must be at most {field['maximum']}\"}});")
            out.append(f"}} else {{ {target} = static_cast<{BASIC[kind]}>({node}->valuedouble); }}")
        return out
    match = re.fullmatch(r"(list|map|optional)<(.+)>", kind)
    if match and match.group(1) == "optional":
        out.append("{")
        out.append(f"{pad}{cpp(match.group(2))} present{depth}{{}};")
        out += [pad + line for line in reader(match.group(2), f"present{depth}", node, path, field, depth + 1)]
        out.append(f"{pad}{target} = present{depth};")
        out.append("}")
        return out
    if match:
        shape, inner = match.group(1), match.group(2)
        check = "cJSON_IsArray" if shape == "list" else "cJSON_IsObject"
        name = "a list" if shape == "list" else "an object"
        out.append(f"if ({check}({node}) == 0) {{ faults.push_back(common::Fault{{{path}, \"must be {name}\"}}); }} else {{")
        out.append(f"{pad}std::size_t place{depth} = 0;")
        out.append(f"{pad}{target}.clear();")
        out.append(f"{pad}for (cJSON const* item{depth} = {node}->child; item{depth} != nullptr; item{depth} = item{depth}->next, ++place{depth}) {{")
        if shape == "list":
            out.append(f"{pad*2}std::string const path{depth} = {path} + \"/\" + std::to_string(place{depth});")
        else:
            out.append(f"{pad*2}std::string const path{depth} = {path} + \"/\" + common::pointer_part(item{depth}->string);")
            out.append(f"{pad*2}if ({target}.count(item{depth}->string) > 0) {{ faults.push_back(common::Fault{{path{depth}, \"is given twice\"}}); }}")
        out.append(f"{pad*2}{cpp(inner)} entry{depth}{{}};")
        out += [pad * 2 + line for line in reader(inner, f"entry{depth}", f"item{depth}", f"path{depth}", {k: v for k, v in field.items() if k in ("one_of", "filled")} if inner in BASIC else {}, depth + 1)]
        if shape == "list":
            out.append(f"{pad*2}{target}.push_back(std::move(entry{depth}));")
        else:
            out.append(f"{pad*2}{target}[item{depth}->string] = std::move(entry{depth});")
        out.append(f"{pad}}}")
        if "most" in field and shape == "list":
            out.append(f"{pad}if ({target}.size() > {field['most']}) {{ faults.push_back(common::Fault{{{path}, \"has more than {field['most']} entries\"}}); }}")
        out.append("}")
        return out
    out.append(f"read({node}, {path}, {target}, faults);")
    return out


def writer(kind, source, depth=0):
    """A C++ expression that makes a cJSON node from `source`."""
    if kind == "string":
        return f"cJSON_CreateString({source}.c_str())"
    if kind == "boolean":
        return f"cJSON_CreateBool({source} ? 1 : 0)"
    if kind in BASIC:
        return f"cJSON_CreateNumber(static_cast<double>({source}))"
    match = re.fullmatch(r"(list|map|optional)<(.+)>", kind)
    if match:
        shape, inner = match.group(1), match.group(2)
        if shape == "optional":
            return f"({source}.has_value() ? {writer(inner, '(*' + source + ')', depth + 1)} : cJSON_CreateNull())"
        if shape == "list":
            return (f"[&]() -> cJSON* {{ cJSON* list{depth} = cJSON_CreateArray(); for ({cpp(inner)} const& entry{depth} : {source}) "
                    f"{{ cJSON_AddItemToArray(list{depth}, {writer(inner, f'entry{depth}', depth + 1)}); }} return list{depth}; }}()")
        return (f"[&]() -> cJSON* {{ cJSON* object{depth} = cJSON_CreateObject(); for (std::pair<std::string const, {cpp(inner)}> const& entry{depth} : {source}) "
                f"{{ cJSON_AddItemToObject(object{depth}, entry{depth}.first.c_str(), {writer(inner, f'entry{depth}.second', depth + 1)}); }} return object{depth}; }}()")
    return f"write({source})"


def main():
    source, header, body = sys.argv[1:4]
    with open(source, encoding="utf-8") as stream:
        schema = json.load(stream)
    space = schema["namespace"]
    head = ["// Generated from " + source.rsplit("/", 1)[-1] + "; see docs/design.md section 2.", "#pragma once", "",
            "#include <cstdint>", "#include <map>", "#include <optional>", "#include <string>", "#include <variant>", "#include <vector>", "",
            "#include <cJSON.h>", "", '#include "common/json/fault.hpp"']
    for other in schema.get("includes", []):
        head.append(f'#include "{other}"')
    head += ["", f"namespace {space} {{", ""]
    code = [f'#include "{header.rsplit("/", 2)[-2]}/{header.rsplit("/", 1)[-1]}"', "", "#include <cmath>", "#include <utility>", "",
            '#include "common/json/tree.hpp"', "", f"namespace {space} {{", ""]
    for structure in schema["structures"]:
        name, fields = structure["name"], structure["fields"]
        head.append(f"/// {structure.get('about', name)}")
        head.append(f"struct {name} {{")
        for field in fields:
            head.append(f"  {cpp(field['type'])} {field['name']}{literal(field)};" + (f"  ///< {field['about']}" if "about" in field else ""))
        listed = ", ".join(field["name"] for field in fields)
        head += ["", "  template <class Archive>", "  void serialize(Archive& archive) {", f"    archive({listed});" if fields else "    (void)archive;", "  }",
                 f"  friend bool operator==({name} const&, {name} const&) = default;", "};"]
        if structure.get("json", True):
            head += [f"void read(cJSON const* node, std::string const& path, {name}& target, std::vector<common::Fault>& faults);",
                     f"[[nodiscard]] cJSON* write({name} const& source);"]
            code += [f"void read(cJSON const* node, std::string const& path, {name}& target, std::vector<common::Fault>& faults) {{",
                     "  if (cJSON_IsObject(node) == 0) { faults.push_back(common::Fault{path, \"must be an object\"}); return; }"]
            for field in fields:
                code.append(f"  bool seen_{field['name']} = false;")
            code.append("  for (cJSON const* member = node->child; member != nullptr; member = member->next) {")
            code.append("    std::string const name = member->string;")
            code.append("    std::string const here = path + \"/\" + common::pointer_part(name);")
            keyword = "if"
            for field in fields:
                json_name = field["name"]
                code.append(f"    {keyword} (name == {json.dumps(json_name)}) {{")
                code.append(f"      if (seen_{json_name}) {{ faults.push_back(common::Fault{{here, \"is given twice\"}}); }}")
                code.append(f"      seen_{json_name} = true;")
                code += ["      " + line for line in reader(field["type"], f"target.{json_name}", "member", "here", field)]
                code.append("    }")
                keyword = "else if"
            code.append(f"    {'else ' if fields else ''}{{ faults.push_back(common::Fault{{here, \"is not a known field\"}}); }}")
            code.append("  }")
            for field in fields:
                if field.get("required"):
                    code.append(f"  if (!seen_{field['name']}) {{ faults.push_back(common::Fault{{path + \"/{field['name']}\", \"is missing\"}}); }}")
                else:
                    code.append(f"  (void)seen_{field['name']};")
            code += ["}", "", f"cJSON* write({name} const& source) {{", "  cJSON* object = cJSON_CreateObject();"]
            for field in fields:
                line = f"cJSON_AddItemToObject(object, {json.dumps(field['name'])}, {writer(field['type'], 'source.' + field['name'])});"
                if field["type"].startswith("optional<"):
                    line = f"if (source.{field['name']}.has_value()) {{ {line} }}"
                code.append("  " + line)
            code += ["  return object;", "}", ""]
        head.append("")
    for choice in schema.get("variants", []):
        head += [f"/// {choice.get('about', choice['name'])}", f"using {choice['name']} = std::variant<{', '.join(choice['of'])}>;",
                 "/// Names of the above in the order of its index().", f"inline constexpr char const* {choice['name'].lower()}_kinds[] = {{{', '.join(json.dumps(name) for name in choice['of'])}}};", ""]
    if schema.get("flags"):
        target = next(s for s in schema["structures"] if s["name"] == schema["flags"])
        head += ["/// One settings field as a command-line flag.", "struct Flag { char const* name; char const* about; bool many; bool number; };",
                 "inline std::vector<Flag> const flags{"]
        for field in target["fields"]:
            if not field.get("flag", True):
                continue  # structured: settings file only
            head.append(f"    Flag{{{json.dumps(field['name'])}, {json.dumps(field['about'])}, {'true' if field['type'].startswith('list') else 'false'}, {'true' if field['type'] in ('natural', 'integer', 'number') else 'false'}}},")
        head += ["};", ""]
    head += [f"}}  // namespace {space}", ""]
    code += [f"}}  // namespace {space}", ""]
    with open(header, "w", encoding="utf-8") as stream:
        stream.write("\n".join(head))
    with open(body, "w", encoding="utf-8") as stream:
        stream.write("\n".join(code))


if __name__ == "__main__":
    main()

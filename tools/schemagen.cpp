// Turns schema/*.schema into C++: structs with their serialisation and the X-macro tables over them.
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace {

struct Field {
  std::string type, name;
};
struct Struct {
  std::string name;
  bool message = false;
  std::vector<Field> fields;
};

std::string trim(const std::string& text) {
  const auto first = text.find_first_not_of(" \t\r");
  if (first == std::string::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

std::string cppType(const std::string& type) {
  static const std::map<std::string, std::string> plain{
      {"u8", "std::uint8_t"},  {"u16", "std::uint16_t"}, {"u32", "std::uint32_t"}, {"u64", "std::uint64_t"},
      {"i64", "std::int64_t"}, {"f64", "double"},        {"bool", "bool"},         {"string", "std::string"}};
  if (type.rfind("list<", 0) == 0) return "std::vector<" + cppType(type.substr(5, type.size() - 6)) + ">";
  const auto found = plain.find(type);
  return found == plain.end() ? type : found->second;
}

int fail(const std::string& what, std::size_t line) {
  std::cerr << "schemagen: line " << line << ": " << what << "\n";
  return 1;
}

int messages(std::istream& in, std::ostream& out) {
  std::vector<Struct> all;
  std::string line;
  for (std::size_t number = 1; std::getline(in, line); ++number) {
    const auto text = trim(line.substr(0, line.find('#')));
    if (text.empty()) continue;
    std::istringstream words(text);
    std::string first, second;
    if (!(words >> first >> second)) return fail("two words wanted", number);
    if (first == "struct" || first == "message") {
      all.push_back({second, first == "message", {}});
    } else if (all.empty()) {
      return fail("a field before any struct", number);
    } else {
      all.back().fields.push_back({first, second});
    }
  }
  out << "// Generated from schema/messages.schema.\n#pragma once\n#include <cstdint>\n#include <string>\n"
         "#include <variant>\n#include <vector>\n#include <boost/serialization/level.hpp>\n"
         "#include <boost/serialization/string.hpp>\n#include <boost/serialization/tracking.hpp>\n"
         "#include <boost/serialization/vector.hpp>\n\nnamespace indigohill::schema {\n";
  for (const auto& s : all) {
    out << "\nstruct " << s.name << " {\n";
    for (const auto& f : s.fields) out << "  " << cppType(f.type) << " " << f.name << "{};\n";
    out << "  template <class Archive>\n  void serialize(Archive& archive, unsigned) {\n";
    for (const auto& f : s.fields) out << "    archive & " << f.name << ";\n";
    out << "  }\n  bool operator==(const " << s.name << "&) const = default;\n";
    if (s.name == "StateVersion") out << "  auto operator<=>(const StateVersion&) const = default;\n";
    out << "};\n";
  }
  out << "\n// One line for each message that can be sent: number on the wire, name.\n"
         "#define INDIGOHILL_MESSAGES(X)";
  int number = 0;
  for (const auto& s : all)
    if (s.message) out << " \\\n  X(" << ++number << ", " << s.name << ")";
  out << "\n\nusing Message = std::variant<std::monostate";
  for (const auto& s : all)
    if (s.message) out << ", " << s.name;
  out << ">;\n\n}  // namespace indigohill::schema\n\n";
  // No class versions and no object tracking: the message carries one version for all of it.
  for (const auto& s : all)
    out << "BOOST_CLASS_IMPLEMENTATION(indigohill::schema::" << s.name
        << ", boost::serialization::object_serializable)\nBOOST_CLASS_TRACKING(indigohill::schema::" << s.name
        << ", boost::serialization::track_never)\n";
  return 0;
}

int fields(std::istream& in, std::ostream& out, const std::string& schema, const std::string& macro) {
  static const std::map<std::string, std::string> types{{"text", "std::string"},
                                                        {"list", "std::vector<std::string>"},
                                                        {"whole", "std::uint64_t"},
                                                        {"fraction", "double"},
                                                        {"flag", "bool"},
                                                        {"millis", "std::chrono::milliseconds"},
                                                        {"seconds", "std::chrono::milliseconds"},
                                                        {"endpoint", "Endpoint"},
                                                        {"endpoints", "std::vector<Endpoint>"},
                                                        {"ports", "Ports"}};
  out << "// Generated from schema/" << schema
      << ".schema.\n#pragma once\n\n"
         "// One line for each field: type in C++, member, path in the file, reader, whether it must be there,\n"
         "// default as text, what it is for.\n#define "
      << macro << "(X)";
  std::string line;
  for (std::size_t number = 1; std::getline(in, line); ++number) {
    const auto text = trim(line.substr(0, line.find('#')));
    if (text.empty()) continue;
    std::vector<std::string> cells;
    std::istringstream parts(text);
    for (std::string cell; std::getline(parts, cell, '|');) cells.push_back(trim(cell));
    if (cells.size() != 4) return fail("path | type | default | purpose wanted", number);
    const auto type = types.find(cells[1]);
    if (type == types.end()) return fail("unknown type " + cells[1], number);
    auto member = cells[0];
    const auto dot = member.rfind('.');
    if (dot != std::string::npos) member = member.substr(dot + 1);
    const bool required = cells[2] == "required";
    out << " \\\n  X(" << type->second << ", " << member << ", \"" << cells[0] << "\", " << cells[1] << ", "
        << (required ? "true" : "false") << ", \"" << (required ? "" : cells[2]) << "\", \"" << cells[3] << "\")";
  }
  out << "\n";
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: schemagen messages|settings|policy IN OUT\n";
    return 2;
  }
  std::ifstream in(argv[2]);
  std::ofstream out(argv[3]);
  if (!in || !out) {
    std::cerr << "schemagen: cannot open " << (in ? argv[3] : argv[2]) << "\n";
    return 1;
  }
  const std::string kind = argv[1];
  const int rc = kind == "messages"   ? messages(in, out)
                 : kind == "settings" ? fields(in, out, kind, "INDIGOHILL_SETTINGS")
                                      : fields(in, out, kind, "INDIGOHILL_POLICY");
  out.flush();
  return out ? rc : 1;
}

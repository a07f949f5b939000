#pragma once

namespace indigohill::store {
class Database;
class File;
class Manifest;
class Snapshots;
class Store;
struct ManifestEntry;
}  // namespace indigohill::store

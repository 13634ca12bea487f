#pragma once

#include "Memory/MemoryBudget.h"

#include <cstddef>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace buckthornring {

/// Bytes in blocks that are never moved or enlarged. Appending allocates at
/// most one block beyond what is held, and the front can be freed while the
/// rest is still being sent. The blocks are charged to a budget, if there is
/// one.
class BlockBuffer {
public:
  /// The last block may be almost empty, so this much is held in vain by each
  /// connection with a body.
  static constexpr std::size_t MaxBlockBytes = 16UL * 1024;

  BlockBuffer() = default;
  explicit BlockBuffer(std::shared_ptr<MemoryBudget> Budget)
      : Budget(std::move(Budget)) {}
  // A body that was built as a text.
  BlockBuffer(const std::string &Text) { append(Text); }
  BlockBuffer(BlockBuffer &&Other) noexcept;
  auto operator=(BlockBuffer &&Other) noexcept -> BlockBuffer &;
  ~BlockBuffer() = default;

  auto size() const -> std::size_t { return Size; }
  auto empty() const -> bool { return Size == 0; }
  /// Bytes of all blocks.
  auto capacity() const -> std::size_t { return Capacity; }

  /// Bytes that will be appended, as far as known. Makes blocks no larger than
  /// needed.
  auto expect(std::size_t Bytes) -> void { Expected = Bytes; }
  auto append(std::string_view Bytes) -> void;
  /// Appends the blocks of \p Other without copying them.
  auto appendBlocks(BlockBuffer Other) -> void;
  /// Frees the first \p Bytes.
  auto consume(std::size_t Bytes) -> void;
  auto clear() -> void;

  /// Up to \p MaxParts parts from the front.
  auto
  parts(std::size_t MaxParts = std::numeric_limits<std::size_t>::max()) const
      -> std::vector<std::string_view>;

private:
  struct Block {
    std::unique_ptr<char[]> Bytes;
    std::size_t Capacity = 0;
    std::size_t Begin = 0;
    std::size_t End = 0;
    MemoryCharge Charge;
  };

  auto addBlock(std::size_t Wanted) -> void;

  std::shared_ptr<MemoryBudget> Budget;
  std::vector<Block> Blocks;
  std::size_t First = 0; ///< Index of the first block that is not consumed.
  std::size_t Size = 0;
  std::size_t Capacity = 0;
  std::size_t Expected = 0;
};

} // namespace buckthornring

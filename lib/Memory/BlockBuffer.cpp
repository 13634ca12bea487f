#include "Memory/BlockBuffer.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace buckthornring {

BlockBuffer::BlockBuffer(BlockBuffer &&Other) noexcept
    : Budget(std::move(Other.Budget)), Blocks(std::move(Other.Blocks)),
      First(std::exchange(Other.First, 0)), Size(std::exchange(Other.Size, 0)),
      Capacity(std::exchange(Other.Capacity, 0)),
      Expected(std::exchange(Other.Expected, 0)) {
  Other.Blocks.clear();
}

auto BlockBuffer::operator=(BlockBuffer &&Other) noexcept -> BlockBuffer & {
  if (this == &Other)
    return *this;
  Budget = std::move(Other.Budget);
  Blocks = std::move(Other.Blocks);
  Other.Blocks.clear();
  First = std::exchange(Other.First, 0);
  Size = std::exchange(Other.Size, 0);
  Capacity = std::exchange(Other.Capacity, 0);
  Expected = std::exchange(Other.Expected, 0);
  return *this;
}

auto BlockBuffer::append(std::string_view Bytes) -> void {
  while (!Bytes.empty()) {
    if (First == Blocks.size() || Blocks.back().End == Blocks.back().Capacity)
      addBlock(Bytes.size());
    Block &Last = Blocks.back();
    const std::size_t Count = std::min(Bytes.size(), Last.Capacity - Last.End);
    std::memcpy(Last.Bytes.get() + Last.End, Bytes.data(), Count);
    Last.End += Count;
    Size += Count;
    Expected -= std::min(Expected, Count);
    Bytes.remove_prefix(Count);
  }
}

// Without a known length the blocks grow with what has arrived, so that a short
// body takes little and a long one few blocks.
auto BlockBuffer::addBlock(std::size_t Wanted) -> void {
  const std::size_t Useful = Expected > 0 ? Expected : Size;
  Block Added;
  Added.Capacity = std::min(std::max(Wanted, Useful), MaxBlockBytes);
  Added.Bytes = std::make_unique_for_overwrite<char[]>(Added.Capacity);
  Added.Charge = MemoryCharge(Budget);
  Added.Charge.set(Added.Capacity);
  Capacity += Added.Capacity;
  Blocks.push_back(std::move(Added));
}

auto BlockBuffer::appendBlocks(BlockBuffer Other) -> void {
  Size += std::exchange(Other.Size, 0);
  Capacity += std::exchange(Other.Capacity, 0);
  for (std::size_t Index = Other.First; Index < Other.Blocks.size(); ++Index)
    Blocks.push_back(std::move(Other.Blocks[Index]));
  Other.Blocks.clear();
}

auto BlockBuffer::consume(std::size_t Bytes) -> void {
  Bytes = std::min(Bytes, Size);
  Size -= Bytes;
  while (Bytes > 0) {
    Block &Front = Blocks[First];
    const std::size_t Count = std::min(Bytes, Front.End - Front.Begin);
    Front.Begin += Count;
    Bytes -= Count;
    if (Front.Begin < Front.End)
      return;
    Capacity -= Front.Capacity;
    Front = Block();
    ++First;
  }
  if (Size == 0)
    clear();
}

auto BlockBuffer::clear() -> void {
  Blocks.clear();
  Blocks.shrink_to_fit();
  First = 0;
  Size = 0;
  Capacity = 0;
  Expected = 0;
}

auto BlockBuffer::parts(std::size_t MaxParts) const
    -> std::vector<std::string_view> {
  std::vector<std::string_view> Found;
  for (std::size_t Index = First; Index < Blocks.size(); ++Index) {
    const Block &Each = Blocks[Index];
    if (Found.size() == MaxParts)
      break;
    if (Each.Begin < Each.End)
      Found.emplace_back(Each.Bytes.get() + Each.Begin, Each.End - Each.Begin);
  }
  return Found;
}

} // namespace buckthornring

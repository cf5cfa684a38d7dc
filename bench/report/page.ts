/** Returns a self-contained HTML page with the given SVG figures. */
export function getPage(title: string, note: string, figures: string[]): string {
  const sections = figures.map((figure) => `<figure>${figure}</figure>`).join('\n');
  return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>${escapeText(title)}</title>
<style>body{font:15px sans-serif;max-width:1040px;margin:2em auto}figure{margin:2em 0}</style>
<h1>${escapeText(title)}</h1>
<p>${escapeText(note)}</p>
${sections}
</html>
`;
}

function escapeText(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}

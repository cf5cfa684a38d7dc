import { init } from 'echarts';
import type { Summary } from '../policy/summary.ts';

const WIDTH = 1_000;
const HEIGHT = 380;

/** Results at one stall weight. */
export interface StallWeightPoint {
  stallWeight: number;
  urgentStallMs: number;
  efficiency: number;
}

type Options = Parameters<ReturnType<typeof init>['setOption']>[0];

/** Draws one ratio for every scenario: the median as a bar, minimum and maximum in its label. */
export function drawRatios(title: string, summaries: Summary[], key: string): string {
  const spreads = summaries.map(
    ({ ratios }): [number, number, number] => ratios[key] ?? [NaN, NaN, NaN],
  );
  return draw({
    title: { text: title },
    grid: { left: 60, right: 30, bottom: 50 },
    xAxis: {
      type: 'category',
      data: summaries.map(({ scenario }) => scenario),
      axisLabel: { interval: 0 },
    },
    yAxis: { type: 'value' },
    series: [
      {
        type: 'bar',
        data: spreads.map(([median, least, most]) => ({
          value: median,
          label: {
            show: true,
            position: 'top',
            formatter: `${median.toFixed(2)}\n${least.toFixed(2)}-${most.toFixed(2)}`,
          },
        })),
        markLine: { symbol: 'none', data: [{ yAxis: 1 }] },
      },
    ],
  });
}

/** Draws urgent load stall and batch efficiency over the stall weight. */
export function drawStallWeight(title: string, points: StallWeightPoint[]): string {
  return draw({
    title: { text: title },
    legend: { right: 20 },
    grid: { left: 70, right: 70, bottom: 50 },
    xAxis: { type: 'value', name: 'stall weight', nameLocation: 'middle', nameGap: 28 },
    yAxis: [
      { type: 'value', name: 'urgent stall, ms' },
      { type: 'value', name: 'batch efficiency', scale: true },
    ],
    series: [
      {
        name: 'urgent stall',
        type: 'line',
        data: points.map((point) => [point.stallWeight, point.urgentStallMs]),
      },
      {
        name: 'batch efficiency',
        type: 'line',
        yAxisIndex: 1,
        data: points.map((point) => [point.stallWeight, point.efficiency]),
      },
    ],
  });
}

function draw(options: Options): string {
  const chart = init(null, null, { renderer: 'svg', ssr: true, width: WIDTH, height: HEIGHT });
  chart.setOption({ animation: false, ...options });
  const svg = chart.renderToSVGString();
  chart.dispose();
  return svg;
}
